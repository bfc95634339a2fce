package gateway

import (
	"os"

	"github.com/cespare/xxhash/v2"
)

// bootIDFile contains an ID that the kernel chooses at each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// bootID returns a number that differs after each start of the machine, or 0 if the system does not tell.
func bootID() uint64 {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
