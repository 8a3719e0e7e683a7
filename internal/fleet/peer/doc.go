// Package peer implements the RPC protocol between instances: the generated
// messages, a server and a client. Calls go over TCP to the peer address that an
// instance announces through membership.
package peer
