package usagereceiver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

// eventKey identifies an event: CloudEvents 1.0 requires that source and id together are unique.
type eventKey struct{ source, id string }

func (e Event) key() eventKey { return eventKey{e.Source, e.ID} }

// store holds each event once, in memory and in a file with one JSON object per line. It is not safe for
// concurrent use.
type store struct {
	file   *os.File
	seen   map[eventKey]bool
	events []Event
	failed error // first write error of the file; later calls of add return it
}

// openStore loads the events of a file, or creates the file. It truncates the file at the first incomplete
// line. A crash during a write leaves such a line: its batch was not acknowledged, so the sender sends it
// again.
func openStore(name string) (s *store, duplicates int, err error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, err
	}
	s = &store{file: file, seen: map[eventKey]bool{}}
	in := bufio.NewReader(file)
	intact := int64(0)
	for {
		line, err := in.ReadBytes('\n')
		var e Event
		if err != nil || json.Unmarshal(line, &e) != nil {
			break
		}
		intact += int64(len(line))
		if s.seen[e.key()] {
			duplicates++
			continue
		}
		s.remember(e)
	}
	if err := file.Truncate(intact); err != nil {
		return nil, 0, err
	}
	if _, err := file.Seek(intact, io.SeekStart); err != nil {
		return nil, 0, err
	}
	return s, duplicates, nil
}

// add writes the new events to the file, syncs it, and only then marks them as seen, because a batch may be
// acknowledged only once all of it is durable. It returns the number of events that were already stored.
func (s *store) add(events []Event) (duplicates int, err error) {
	if s.failed != nil {
		return 0, s.failed
	}
	var lines bytes.Buffer
	var added []Event
	inBatch := map[eventKey]bool{}
	for _, e := range events {
		if s.seen[e.key()] || inBatch[e.key()] {
			duplicates++
			continue
		}
		inBatch[e.key()] = true
		raw, _ := json.Marshal(e) // cannot fail: e was decoded from JSON
		lines.Write(append(raw, '\n'))
		added = append(added, e)
	}
	if s.failed = s.write(lines.Bytes()); s.failed != nil {
		return duplicates, s.failed
	}
	for _, e := range added {
		s.remember(e)
	}
	return duplicates, nil
}

func (s *store) write(data []byte) error {
	if _, err := s.file.Write(data); err != nil {
		return err
	}
	return s.file.Sync()
}

func (s *store) remember(e Event) {
	s.seen[e.key()] = true
	s.events = append(s.events, e)
}

// parseBatch decodes a batch and checks that each event has the attributes that CloudEvents 1.0 requires.
func parseBatch(req *http.Request, body []byte) ([]Event, error) {
	if !strings.HasPrefix(req.Header.Get("Content-Type"), "application/cloudevents-batch+json") {
		return nil, fmt.Errorf("Content-Type is %q, want application/cloudevents-batch+json",
			req.Header.Get("Content-Type"))
	}
	var events []Event
	if err := json.Unmarshal(body, &events); err != nil {
		return nil, fmt.Errorf("body is not a JSON array of events: %w", err)
	}
	for i, e := range events {
		if e.Version != "1.0" || e.ID == "" || e.Source == "" || e.Type == "" {
			return nil, fmt.Errorf("event %d: specversion is %q, id %q, source %q, type %q, "+
				"want specversion 1.0 and the others not empty", i, e.Version, e.ID, e.Source, e.Type)
		}
	}
	return events, nil
}
