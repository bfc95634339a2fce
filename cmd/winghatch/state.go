package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"winghatch/decide"
	"winghatch/internal/gateway"
)

// stateTimeout bounds the request for the state of a gateway, including its response.
const stateTimeout = 5 * time.Second

// stateCmd is the sub-command state.
type stateCmd struct {
	At   string `required:"" help:"State address of the gateway, host:port."`
	JSON bool   `help:"Print the JSON of the response unchanged."`
}

// Run prints the state of a running gateway.
func (c *stateCmd) Run() error {
	client := http.Client{Timeout: stateTimeout}
	res, err := client.Get("http://" + c.At + "/state")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("read state from %s: %w", c.At, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("state: %s answered %s, want 200", c.At, res.Status)
	}
	if c.JSON {
		_, err = os.Stdout.Write(raw)
		return err
	}
	var s gateway.State
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("decode state from %s: %w", c.At, err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	printTotals(w, &s)
	printServers(w, &s)
	printCustomers(w, &s)
	printPlans(w, &s)
	printUsageExport(w, &s)
	printPeers(w, &s)
	return nil
}

func printTotals(w io.Writer, s *gateway.State) {
	fmt.Fprintf(w, "fleet %s, gateway %d %s, up %v, mesh %t\n",
		s.Fleet, s.Rank, s.Zone, s.Uptime.Round(time.Second), s.Core.FullGossip)
	fmt.Fprintf(w, "open\t%d\tsessions\t%d\tqueue\t%d\tpressure\t%.2f\n",
		s.OpenRequests, s.Sessions, s.QueueLength, s.Core.Pressure)
	fmt.Fprintf(w, "served\t%d\tfailed\t%d\tclients disconnected\t%d\tlate responses\t%d\n",
		s.Served, s.Failed, s.Abandoned, s.LateResponses)
	fmt.Fprintf(w, "attempts\t%d\toutcomes\t%v\tretry budget\t%.1f\n",
		s.Attempts, s.Outcomes, s.Core.RetryBudget)
	fmt.Fprintf(w, "rejected\t%v\tby the frontend\t%v\n", s.Rejected, s.FrontendRejections)
	fmt.Fprintf(w, "datagrams\t%+v\n", s.Datagrams)
}

func printServers(w io.Writer, s *gateway.State) {
	states := map[decide.ServerState]string{
		decide.Serving:  "serving",
		decide.Draining: "draining",
		decide.Removed:  "gone",
	}
	fmt.Fprintln(w,
		"\nserver\tzone\tstate\tin flight\torphaned\tslowness\tfailure ratio\tslow start left\twarm-up budget")
	for _, v := range s.Core.Servers {
		slowStart, budget := "-", "-"
		if v.SlowStartRemaining > 0 {
			slowStart = v.SlowStartRemaining.Round(time.Millisecond).String()
			budget = fmt.Sprintf("%.2f", v.SlowStartBudget)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.2f\t%s\t%s\n", v.ID, v.Zone, states[v.State],
			v.InFlight, v.Orphaned, v.Slowness, v.FailureRatio, slowStart, budget)
	}
}

func printCustomers(w io.Writer, s *gateway.State) {
	fmt.Fprintln(w, "\ncustomer\tplan\tlevel\thigh-water mark\tshare\tfleet level\tceiling tokens\tin flight")
	for _, v := range s.Core.Customers {
		name := s.CustomerNames[v.Key]
		if name == "" {
			name = fmt.Sprintf("#%x", v.Key)
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\n", name, v.Plan,
			v.Level, v.HighWaterMark, v.Share, v.FleetLevel, v.CeilingTokens, v.InFlight)
	}
}

func printPlans(w io.Writer, s *gateway.State) {
	fmt.Fprintf(w, "\nplan changes\t%d\tdigest\t%s\t%s\n", s.PlanChanges, s.PlanDigest, s.PlanLogFailure)
	if len(s.Reservations) == 0 {
		return
	}
	fmt.Fprintln(w, "\nreservation\tmember\tunits\tto\topen\theld\tdrawn\tin flight\tused\tgiven")
	for _, v := range s.Reservations {
		fmt.Fprintf(w, "%d\t%s\t%.6g\t%s\t%t\t%.1f\t%.1f\t%d\t%.1f\t%.1f\n", v.Number, v.Member, v.Units,
			time.Unix(0, v.To).UTC().Format(time.RFC3339), v.Open,
			v.HeldTokens, v.DrawnTokens, v.InFlight, v.UsedUnits, v.GivenUnits)
	}
}

func printUsageExport(w io.Writer, s *gateway.State) {
	e := s.Usage
	if e == nil {
		return
	}
	fmt.Fprintf(w, "\nusage export\tincarnation %d\topen attempts %d\trecords %d\tacknowledged %d\t"+
		"%d of %d bytes\trejecting %t\t%s\n", e.Incarnation, e.OpenAttempts, e.Records, e.Acknowledged,
		e.Bytes, e.MaxBytes, e.Rejecting, e.Failure)
	fmt.Fprintf(w, "  sent\t%d events\t%d batches\t%d retries\t%d dead letters\tlast answer %d %s\n",
		e.Delivery.Sent, e.Delivery.Batches, e.Delivery.Retries, e.Delivery.DeadLetters,
		e.Delivery.LastStatus, e.Delivery.LastReason)
	fmt.Fprintf(w, "  uncovered\t%d attempts\t%.6g units\tdenied %d\torphans %d\tlost records %d\n",
		e.Outbox.UncoveredAttempts, e.Outbox.UncoveredUnits, e.Outbox.Denied, e.Outbox.Orphans, e.LostRecords)
}

func printPeers(w io.Writer, s *gateway.State) {
	if len(s.Core.UnresponsiveOwners) > 0 {
		fmt.Fprintf(w, "\nunresponsive quota owners\t%v\n", s.Core.UnresponsiveOwners)
	}
	fmt.Fprintln(w, "\npeer\tknown\tlast received\tqueue")
	for _, v := range s.Core.Peers {
		fmt.Fprintf(w, "%d\t%t\t%v ago\t%d\n",
			v.Rank, v.Known, v.SinceLastReceived.Round(time.Millisecond), v.QueueLength)
	}
}
