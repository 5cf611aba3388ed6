package cell

import (
	"context"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
)

// Evacuation is an operator's order to start nothing more on the workers of an availability zone,
// or to revoke that.
type Evacuation struct {
	Zone    string    `cbor:"1,keyasint"`
	Active  bool      `cbor:"2,keyasint,omitempty"` // false revokes the evacuation
	Stamp   Stamp     `cbor:"3,keyasint"`
	Arrived time.Time `cbor:"-"` // earliest time, on the boot-time clock, at which it may have arrived here; zero for now
}

// Validity returns the order's stamp.
func (e *Evacuation) Validity() *Stamp { return &e.Stamp }

func (e *Evacuation) arrival() time.Time { return e.Arrived }

func (e *Evacuation) renew(s Stamp, _ bool) { e.Stamp = s }

// Evacuations lists the evacuated zones.
type Evacuations struct {
	Zones []EvacuatedZone `cbor:"1,keyasint,omitempty"` // sorted by name
}

// EvacuatedZone is an evacuated zone and what is left there.
type EvacuatedZone struct {
	Zone        string    `cbor:"1,keyasint"`
	Since       time.Time `cbor:"2,keyasint"`
	Workers     int       `cbor:"3,keyasint,omitempty"`
	Runs        int       `cbor:"4,keyasint,omitempty"` // with the long-running ones
	LongRunning int       `cbor:"5,keyasint,omitempty"`
}

// Evacuate sends an operator's order about an availability zone to the leader. The verdict has the
// number of the zone's workers. An order that is older than a later one about the zone is not
// carried out, and the error is ErrUnknown.
func (l *Link) Evacuate(ctx context.Context, e Evacuation) (Verdict, error) {
	var v Verdict
	if e.Arrived.IsZero() {
		e.Arrived = boottime.Now()
	}
	err := l.callLeader(ctx, MethodEvacuate, &e, &v)
	if err == nil && v.Code == Unclear {
		err = ErrUnknown
	}
	return v, err
}

// Evacuations returns the evacuated zones.
func (l *Link) Evacuations(ctx context.Context) (Evacuations, error) {
	var e Evacuations
	err := l.callLeader(ctx, MethodEvacuations, Who{}, &e)
	return e, err
}
