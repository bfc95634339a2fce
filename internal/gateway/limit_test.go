package gateway

import "syscall"

// sessionsThatFit is n, or what the limit on file descriptors lets both ends of sessions have here.
func sessionsThatFit(n int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil {
		return 100
	}
	return min(n, (int(r.Cur)-200)/2)
}
