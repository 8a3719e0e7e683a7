// Package peer is the protocol between instances: generated messages, the
// service that answers them and the client that sends them. All calls go over
// TCP to the address that membership gives.
package peer
