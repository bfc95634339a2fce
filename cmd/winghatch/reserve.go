package main

import "winghatch/internal/quotaplan"

// reserveCmd is the sub-command reserve.
type reserveCmd struct {
	gatewayTarget
	Member  string   `arg:""`
	Units   float64  `required:"" help:"Units reserved for the member's marked requests."`
	From    flagTime `required:"" help:"Start of the window, such as 2026-12-07T08:00:00Z or +90m."`
	To      flagTime `required:"" help:"End of the window."`
	UseRate float64  `name:"rate" help:"Largest rate in units/s; default: ceiling/4 or twice the mean."`
	Number  uint64   `help:"Number of the reservation; default: Unix time in µs."`
}

// Run submits the reservation.
func (c *reserveCmd) Run() error {
	from, err := c.From.unixNano("from")
	if err != nil {
		return err
	}
	to, err := c.To.unixNano("to")
	if err != nil {
		return err
	}
	return c.submit(quotaplan.Change{
		Number: c.Number,
		Kind:   quotaplan.Reserve,
		Member: c.Member,
		Units:  c.Units,
		From:   from,
		To:     to,
		Rate:   c.UseRate,
	})
}
