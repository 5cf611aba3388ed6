package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Nothing starts on the workers of an evacuated zone. The order takes effect with its commit, before
// its operator is answered: the planner does not use the workers (worker.out), starts that are
// committed and not answered are not sent any more (sendStart), and tasks that are bound to such a
// worker wait until no copy of their earlier starts can be carried out (boundTo).

// fullRetryAfter is the time after which an operator may try again whose order was refused because
// too many zones are evacuated.
const fullRetryAfter = time.Second

// zoneOrder is the latest order of this term that changes whether a zone is evacuated.
type zoneOrder struct {
	active bool
	at     time.Duration // when it arrived, on the clock of the term
}

// evacuate carries out an operator's order about an availability zone. One that changes nothing is
// acknowledged. A copy that was issued before a later order about the zone is not carried out, since
// its operator may have been answered by way of another copy before the later order was given.
func (t *term) evacuate(ctx context.Context, e *cell.Evacuation) (cell.Verdict, bool) {
	order := job.Evacuation{Zone: e.Zone, Active: e.Active}
	if err := job.CheckZone(e.Zone); err != nil {
		return t.refuseEvacuation(e, cell.Verdict{Code: cell.Invalid, Message: err.Error()}), true
	}
	t.mu.Lock()
	v, committed := t.admitEvacuation(e, order)
	t.mu.Unlock()
	if committed != nil {
		if !t.awaitCommit(ctx, committed) {
			return cell.Verdict{}, false
		}
		v = t.evacuationOutcome(&order)
	}
	if v.Code != cell.OK {
		return t.refuseEvacuation(e, v), true
	}
	t.mu.Lock()
	left := t.leftIn(e.Zone)
	t.mu.Unlock()
	id := event.EvacuationKept
	switch {
	case committed != nil && e.Active:
		id = event.ZoneEvacuated
	case committed != nil:
		id = event.ZoneRestored
	}
	t.emit(id, zap.String("zone", e.Zone), zap.Bool("evacuated", e.Active), zap.Int("workers", left.Workers), zap.Int("runs", left.Runs))
	v.Workers = left.Workers
	return v, true
}

// admitEvacuation puts an order into the next round and returns a channel that receives whether the
// round was committed, or a nil channel and the answer. The caller holds the lock, so that no other
// order is decided on meanwhile.
func (t *term) admitEvacuation(e *cell.Evacuation, order job.Evacuation) (cell.Verdict, <-chan bool) {
	now, active, full := t.clock(), false, false
	t.state().View(func(v *job.View) {
		_, active = v.Evacuated[e.Zone]
		full = v.EvacuationsFull()
	})
	maps.DeleteFunc(t.zoneOrders, func(_ string, o zoneOrder) bool { return now-o.at > cell.MaxCallAge }) // no older copy is valid
	last, known := t.zoneOrders[e.Zone]
	wanted := active
	if known {
		wanted = last.active // it may not be committed yet
	}
	switch {
	case e.Stamp.Term != 0 && expired(&e.Stamp, now): // this process was paused since checkStamp
		return cell.Verdict{Code: cell.Unclear}, nil
	case e.Active == wanted && e.Active == active:
		return cell.Verdict{Code: cell.OK}, nil
	case e.Active != wanted && e.Stamp.Term != 0 && e.Stamp.Issued <= last.at:
		// Without an order in this term, the zero time: an earlier leader may have answered the later order.
		t.emit(event.EvacuationStale, zap.String("zone", e.Zone), zap.Bool("evacuated", e.Active), zap.Duration("issued", e.Stamp.Issued),
			zap.Duration("later", last.at))
		return cell.Verdict{Code: cell.Unclear}, nil
	case e.Active && !active && full:
		return tooManyZones, nil
	}
	if e.Active != wanted {
		t.zoneOrders[e.Zone] = zoneOrder{e.Active, now}
	}
	return cell.Verdict{Code: cell.OK}, t.enqueue(func(n *inbox) { n.evacuations = append(n.evacuations, order) })
}

var tooManyZones = cell.Verdict{Code: cell.Busy, Message: "too many zones are evacuated", Wait: fullRetryAfter}

// evacuationOutcome returns the answer to an order whose round is committed. Other orders may have
// taken the last place.
func (t *term) evacuationOutcome(order *job.Evacuation) cell.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := cell.Verdict{Code: cell.OK}
	t.state().View(func(view *job.View) {
		if _, active := view.Evacuated[order.Zone]; order.Active && !active && view.EvacuationsFull() {
			v = tooManyZones
			delete(t.zoneOrders, order.Zone)
		}
	})
	return v
}

// refuseEvacuation logs a refused order and returns the verdict.
func (t *term) refuseEvacuation(e *cell.Evacuation, v cell.Verdict) cell.Verdict {
	if v.Code != cell.Unclear {
		t.emit(event.EvacuationRefused, zap.String("zone", e.Zone), zap.Bool("evacuated", e.Active), zap.Stringer("code", v.Code), zap.String("reason", v.Message))
	}
	return v
}

// evacuations lists the evacuated zones and what is left there.
func (t *term) evacuations() cell.Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list cell.Evacuations
	t.state().View(func(v *job.View) {
		for zone, since := range v.Evacuated {
			z := t.leftIn(zone)
			z.Since = since
			list.Zones = append(list.Zones, z)
		}
	})
	slices.SortFunc(list.Zones, func(a, b cell.EvacuatedZone) int { return strings.Compare(a.Zone, b.Zone) })
	return list
}

// leftIn counts the workers of a zone and their runs. The caller holds the lock.
func (t *term) leftIn(zone string) cell.EvacuatedZone {
	z := cell.EvacuatedZone{Zone: zone}
	for _, w := range t.workers {
		if w.Zone != zone {
			continue
		}
		z.Workers++
		for _, r := range w.runs {
			if r.endQueued {
				continue
			}
			z.Runs++
			if r.spec.Lasting {
				z.LongRunning++
			}
		}
	}
	return z
}

// Evacuations returns the number of evacuated zones, of their workers and of the runs left there,
// while this process leads.
func (d *Dispatcher) Evacuations() (zones, workers, runs int) {
	if t := d.current.Load(); t != nil {
		for _, z := range t.evacuations().Zones {
			zones, workers, runs = zones+1, workers+z.Workers, runs+z.Runs
		}
	}
	return zones, workers, runs
}

// noteEvacuations takes over from the state which zones are evacuated. The caller holds both locks.
func (t *term) noteEvacuations(v *job.View) {
	if maps.EqualFunc(t.evacuated, v.Evacuated, time.Time.Equal) {
		return
	}
	t.evacuated = maps.Clone(v.Evacuated)
	t.loadsAt = time.Time{} // the capacity of the pools has changed
	for _, w := range t.workers {
		t.noteZone(w)
	}
	t.emit(event.EvacuationsKnown, zap.Strings("zones", slices.Sorted(maps.Keys(t.evacuated))))
}

// noteZone records whether the zone of a worker is evacuated.
func (t *term) noteZone(w *worker) {
	_, evacuated := t.evacuated[w.Zone]
	w.evacuated.Store(evacuated)
}
