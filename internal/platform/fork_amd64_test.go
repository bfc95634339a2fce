package platform

import "golang.org/x/sys/unix"

// forkNumbers are the system calls besides clone and clone3 that start a process.
var forkNumbers = []uint32{unix.SYS_FORK, unix.SYS_VFORK}
