// Package store is the client of the platform's key-value service. It speaks
// the JSON gateway of etcd v3: compare-and-swap, leases and watches.
//
// Each call names its Purpose. The client counts calls by purpose, keeps this
// instance's share of the service's budget, lets important purposes go first
// and holds back after failures, so that a returning service meets no burst.
// A write is never repeated by the client: its caller learns from
// UnavailableError whether the write may have taken effect.
package store
