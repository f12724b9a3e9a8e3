package fleetsim

import (
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/history"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
)

// decode reads an agreed command once, for all the copies that are shared.
func (w *World) decode(index int, raw []byte) {
	for len(w.decoded) < index {
		w.decoded = append(w.decoded, statemachine.Command{})
	}
	var err error
	if w.decoded[index-1], err = statemachine.Decode(raw); err != nil {
		w.fail(err)
	}
}

func (w *World) differences(index int, voters int, stored time.Duration) {
	id := w.decoded[index-1].ID
	items := w.top.out.Items()
	for i := range 2 * len(items) { // what ended by time did so before the entry itself granted
		order := i % len(items)
		item := items[order]
		if (item.Phase == maintenance.Granted) != (i >= len(items)) {
			continue
		}
		key := wasKey{item.Request, item.Machine, item.RequestedAt, item.Attempt}
		if old, ok := w.was[key]; ok && old.Phase == item.Phase && old.Fence == item.Fence && old.Until == item.Until {
			continue
		}
		w.was[key] = item
		w.tell(history.Event{Kind: history.Committed, Index: index, Voters: voters, Of: len(w.voters), Stored: stored, Command: id,
			Item: history.Item{Request: item.Request, Asked: item.RequestedAt + time.Duration(item.Attempt), Machine: item.Machine,
				Phase: string(item.Phase), Fence: item.Fence, Order: order,
				Urgent: w.s.urgent(item.Request), Lapses: item.Until - clockwork.Epoch}})
	}
}
