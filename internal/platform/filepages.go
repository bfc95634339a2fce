package platform

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// mapping is a range of the address space of a process, as /proc/PID/smaps lists it.
type mapping struct {
	start, end uintptr
	writable   bool
	path       string // file that it maps; empty: none
	changedKiB int    // copies of its pages, which may differ from the file
}

// size returns the size of the mapping in bytes.
func (m *mapping) size() uintptr { return m.end - m.start }

// dropFilePages removes the pages of the program's own binary from the memory of the process. They are mapped
// again when they are used, usually without reading the file. A start touches most of the binary, for tables and
// initialisation that are not needed afterwards, and these pages count against the memory limit.
func dropFilePages() error {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return err
	}
	f, err := os.Open("/proc/self/smaps")
	if err != nil {
		return err
	}
	defer f.Close()
	mappings, err := parseMappings(f)
	if err != nil {
		return err
	}
	for _, m := range mappings {
		if !m.isDroppable(program) {
			continue
		}
		if _, _, errno := unix.Syscall(unix.SYS_MADVISE, m.start, m.size(), unix.MADV_DONTNEED); errno != 0 {
			return fmt.Errorf("madvise %x-%x: %w", m.start, m.end, errno)
		}
	}
	return nil
}

// isDroppable reports whether the pages of the mapping can be read from the program's file again. A page that
// differs from the file, for example one with relocated addresses, would be lost.
func (m *mapping) isDroppable(program string) bool {
	return m.path == program && !m.writable && m.changedKiB == 0
}

// parseMappings parses the list of the mappings of a process in the form of /proc/PID/smaps: a line with the range
// of each, followed by lines with its figures.
func parseMappings(smaps io.Reader) (mappings []mapping, err error) {
	lines := bufio.NewScanner(smaps)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		if !strings.HasSuffix(fields[0], ":") {
			m, err := parseMapping(fields)
			if err != nil {
				return nil, err
			}
			mappings = append(mappings, m)
			continue
		}
		if name := fields[0]; len(mappings) > 0 && name == "Anonymous:" {
			var kib int
			if _, err := fmt.Sscan(fields[1], &kib); err != nil {
				return nil, fmt.Errorf("smaps: %s %q: %w", name, fields[1], err)
			}
			mappings[len(mappings)-1].changedKiB = kib
		}
	}
	return mappings, lines.Err()
}

// parseMapping parses the first line of a mapping: range, permissions, offset, device, inode and, if there is one,
// the path of the file.
func parseMapping(fields []string) (mapping, error) {
	var m mapping
	const fieldsBeforePath = 5
	if len(fields) < fieldsBeforePath {
		return m, fmt.Errorf("smaps: %q, want a range with permissions, offset, device and inode", fields)
	}
	if _, err := fmt.Sscanf(fields[0], "%x-%x", &m.start, &m.end); err != nil {
		return m, fmt.Errorf("smaps: range %q: %w", fields[0], err)
	}
	m.writable = strings.Contains(fields[1], "w")
	m.path = strings.Join(fields[fieldsBeforePath:], " ")
	return m, nil
}
