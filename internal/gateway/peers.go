package gateway

import (
	"winghatch/decide"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
)

// Peers carries messages to other gateways, by their ranks. Send does not block; a message may get lost.
type Peers interface{ Send(to int, text string) }

// The first byte of a message between gateways is its channel. No message of the core begins with one of these.
const (
	channelPlans        = 0x01 // package quotaplan
	channelReservations = 0x02 // package reservation
	channelTotals       = 0x03 // package aggregate
)

// The directions of grant messages in the metrics.
const (
	directionIn  = "in"
	directionOut = "out"
)

// ReceiveGossip posts a message of another gateway to the loop.
func (l *Loop) ReceiveGossip(from int, text string) { l.queue.post(gossipMessage{from, text}) }

// sendToPeer sends a message that is not the core's.
func (l *Loop) sendToPeer(to int, channel byte, data []byte) {
	if l.peers != nil {
		l.peers.Send(to, string(append([]byte{channel}, data...)))
	}
}

// sendGossip sends a message of the core.
func (l *Loop) sendGossip(action decide.SendGossip) {
	if l.peers == nil {
		return
	}
	if l.metrics != nil {
		l.metrics.GrantMessage(action.Text, directionOut)
	}
	l.peers.Send(action.To, action.Text)
}

// receiveFromPeer gives a message to the part of the loop whose channel it has.
func (l *Loop) receiveFromPeer(from int, text string) {
	channel := byte(0)
	if len(text) > 0 {
		channel = text[0]
	}
	switch {
	case channel == channelPlans && l.plans != nil:
		l.plans.handlePlanEvent(quotaplan.MessageReceived{From: from, Data: []byte(text[1:])})
	case channel == channelReservations && l.plans != nil:
		l.plans.handleReservationEvent(reservation.MessageReceived{From: from, Data: []byte(text[1:])})
	case channel == channelTotals:
		if l.totals != nil {
			l.totals.Receive(l.now, from, []byte(text[1:]))
		}
	default:
		if l.metrics != nil {
			l.metrics.GrantMessage(text, directionIn)
		}
		l.handleEvent(decide.GossipReceived{From: from, Text: text})
	}
}

// sendTotals sends what this gateway has counted to the gateways that add it up, if that is due.
func (l *Loop) sendTotals() {
	for _, message := range l.totals.Tick(l.now) {
		l.sendToPeer(message.To, channelTotals, message.Data)
	}
}
