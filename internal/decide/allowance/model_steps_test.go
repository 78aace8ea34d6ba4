package allowance

import (
	"time"

	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// drawStep draws a step. A kill of all processes is as rare as one of a single one.
func (w *simulation) drawStep(t *rapid.T) int {
	step := rapid.IntRange(0, w.lastStep).Draw(t, "step")
	if step == 15 && rapid.IntRange(0, 3).Draw(t, "kill all") > 0 {
		return 0
	}
	return step
}

func (w *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	p := w.hosts[i]
	switch w.drawStep(t) {
	case 0, 1, 2, 10, 11:
		amount := core.Tokens(rapid.IntRange(1, 1500).Draw(t, "amount"))
		p.holder.AddDemand(amount, w.now)
		if p.holder.Reserve(amount, w.now) {
			p.inFlight = append(p.inFlight, amount)
		} else {
			p.holder.AddWaiting(amount)
			if proposal, wanted := p.holder.Propose(w.now); wanted && p.known {
				w.commitLedger(t, p, proposal)
			}
			if p.known {
				w.commitRecord(t, p)
			}
			p.holder.RemoveWaiting(amount)
		}
	case 3:
		if n := len(p.inFlight); n > 0 {
			amount := p.inFlight[n-1]
			p.inFlight = p.inFlight[:n-1]
			p.holder.Settle(amount, core.Tokens(rapid.IntRange(0, int(amount)).Draw(t, "spent")))
		}
	case 4, 12:
		if !p.known {
			w.readStore(p)
		} else if proposal, wanted := p.holder.Propose(w.now); wanted {
			w.commitLedger(t, p, proposal)
		}
	case 5:
		if p.known {
			w.commitRecord(t, p)
		}
	case 6:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	case 13:
		if len(w.ledgers) > 0 || w.emptyCopies {
			w.copied, w.copiedAt = w.clone(), w.now
		}
	case 14:
		if w.copied != nil && w.now.Sub(w.copiedAt) <= MaxCopyAge {
			w.returnToCopy()
		}
	case 7:
		if len(w.lateWrites) > 0 {
			w.lateWrites[0]()
			w.lateWrites = w.lateWrites[1:]
		}
	case 8:
		if proposal, possible := p.holder.ProposeReturn(core.Tokens(rapid.IntRange(1, 5000).Draw(t, "back")), w.now); possible {
			w.commitLedger(t, p, proposal)
		}
	case 9:
		if rapid.IntRange(0, 3).Draw(t, "kill") == 0 { // rarer than the rest, so that balances run out
			w.kill(i)
		}
	case 15:
		for i := range w.hosts {
			w.kill(i)
		}
	case 16:
		w.spendAll(p, time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond)
	case 17:
		w.returnInSeries(t)
	}
}
