// Package gatewayfb holds the FlatBuffers accessors for the messages and stored registers of
// a gateway's members. All other files are generated from ../gateway.fbs; the parent package
// wraps them in plain structs, and nothing else should import them.
package gatewayfb
