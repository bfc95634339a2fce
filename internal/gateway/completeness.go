package gateway

import (
	"os"
	"path/filepath"
)

// completeFileName is the name of an empty file in the directory of the plan log. It states that the log has
// contained, at one time, the changes of all gateways, see quotaplan.Settings.Complete.
const completeFileName = "complete"

// completeness creates that file once the records that it speaks of are durable.
type completeness struct {
	dir         string // directory of the plan log; empty if nothing is persisted
	due         bool   // whether the file has to be created
	afterRecord uint64 // once this record is durable
	lostRecord  bool   // a record could not be appended, so the log is not complete
}

// noted reports whether the file exists.
func (c *completeness) noted() bool {
	if c.dir == "" {
		return false
	}
	_, err := os.Stat(filepath.Join(c.dir, completeFileName))
	return err == nil
}

// note requests the file. Without a directory it does nothing.
func (c *completeness) note(p *quotaPlans) {
	c.due, c.afterRecord = c.dir != "", p.lastRecord
	if len(p.pending) == 0 {
		c.recordsDurable(p, p.lastRecord)
	}
}

// recordsDurable creates the file if it is due and all records that it speaks of are durable. If that fails,
// the next process has to ask the other gateways again.
func (c *completeness) recordsDurable(p *quotaPlans, record uint64) {
	if !c.due || record < c.afterRecord || c.lostRecord {
		return
	}
	c.due = false
	if err := os.WriteFile(filepath.Join(c.dir, completeFileName), nil, 0o600); err != nil {
		p.logger.Warn("Failed to note that the plan log is complete", "err", err)
	}
}
