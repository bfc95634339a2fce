package gateway

import (
	"winghatch/decide"
	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
)

// Peers sends messages to other gateways, which are addressed by rank. Send does not block; messages may be
// lost.
type Peers interface{ Send(to int, text string) }

// Channels of messages between gateways. The first byte of a message is its channel. Messages of the core
// never begin with one of these bytes.
const (
	channelPlans        = 0x01 // messages of package quotaplan
	channelReservations = 0x02 // messages of package reservation
	channelTotals       = 0x03 // messages of package aggregate
)

// Directions of grant messages in the metrics.
const (
	directionIn  = "in"
	directionOut = "out"
)

// ReceiveGossip posts a message from another gateway to the loop. from is the rank of that gateway.
func (l *Loop) ReceiveGossip(from int, text string) { l.queue.post(gossipMessage{from, text}) }

// sendToPeer sends a message on one of the channels above to another gateway. It does nothing without peers.
func (l *Loop) sendToPeer(to int, channel byte, data []byte) {
	if l.peers != nil {
		l.peers.Send(to, string(append([]byte{channel}, data...)))
	}
}

// sendGossip sends a message of the core to another gateway. It does nothing without peers.
func (l *Loop) sendGossip(action decide.SendGossip) {
	if l.peers == nil {
		return
	}
	if l.metrics != nil {
		l.metrics.GrantMessage(action.Text, directionOut)
	}
	l.peers.Send(action.To, action.Text)
}

// receiveFromPeer passes a message from another gateway to the component that handles its channel.
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

// sendTotals sends the counts of this gateway, if they are due, to the gateways that aggregate them.
func (l *Loop) sendTotals() {
	for _, message := range l.totals.Tick(l.now) {
		l.sendToPeer(message.To, channelTotals, message.Data)
	}
}
