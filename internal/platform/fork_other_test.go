//go:build !amd64

package platform

// forkNumbers is empty: only clone and clone3 start a process.
var forkNumbers []uint32
