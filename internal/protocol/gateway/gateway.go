// Package gateway is the format of what the members of a gateway (gateways and
// sites) tell one another, and of the batches of registers that each of them
// stores. FlatBuffers carry it; the schema is gateway.fbs.
package gateway

import (
	"errors"
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/protocol/gateway/gatewayfb"
)

// Version is the format's version; another one is refused, never skipped.
const Version = 1

// MaxMembers bounds the members of a gateway: their sets are bit masks.
const MaxMembers = 15

// maxItems bounds the items of an envelope.
const maxItems = 4096

// Kind says what an item asks or tells.
type Kind uint8

// Kinds of items. Stored batches hold State items only.
const (
	RegisterState Kind = iota // an acceptor's register
	Prepare                   // promise to accept nothing below Ballot
	Promise                   // promised; Accepted and Record are what was accepted before
	Accept                    // accept Record under Ballot
	Accepted                  // done
	Nack                      // refused, Why says for what reason; Accepted is the higher ballot
	Commit                    // a majority has accepted what was proposed under Ballot
	Read                      // tell what you accepted; Ballot.N numbers the request
	ReadReply                 // the answer to Read
	Notice                    // a site is told what became of a job that concerns it
	Ack                       // the site knows: claims of its own below Record.Epoch are dead
	Progress                  // how many tasks of an open job are done (Record.Tasks) and run, for display
	RenewLease                // a site asks for its lease; Ballot is number and session
	LeaseGranted              // granted
	LeaseDenied               // not granted, notices are not acknowledged

	// Between a site's daemon and its controllers.
	Submit // run the job under the claim Record.Epoch
	Stop   // the claim Record.Epoch and all before are over
	Poll   // tell how it is
	Result // the answer; Why is a code

	// Stored by a site beside its registers.
	SiteState // Durable: it is drained
	kindCount
)

// Reasons of a Nack.
const (
	HigherBallot uint8 = iota // another proposer came first
	LeaseActive               // the site that is to lose the job may still run it
)

// Codes of a Result.
const (
	Unavailable uint8 = iota // nothing is known to have happened; ask again
	Active                   // the site has it: not over yet
	ClaimEnded               // nothing of it runs there, and no claim up to Record.Epoch ever will
	Completed                // all its tasks are done
	Refused                  // it can never run there
	Conflict                 // the site has a job of its own under this id
	NotFound                 // the site knows no such job
)

// Ballot orders proposals of one register. Who holds the proposer's member
// number and the number of its start, so that two processes that both think they
// are the same member never share a ballot.
type Ballot struct {
	Number   uint64
	Proposer uint32
}

// Less orders ballots.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// Final answers of a job.
const (
	Open uint8 = iota
	Done
	Cancelled
)

// Record is what is agreed on about one job.
type Record struct {
	Spec          []byte // the submission; dropped once the job is final
	Epoch         uint32 // rises with every claim
	Owner         uint8  // the site that holds it, its member number + 1; 0: none
	PrevOwner     uint8  // the site that it was taken from without its proof, + 1; 0: none
	Stopped       bool   // the holder has proved that nothing of it runs any more
	LostSites     uint32 // sites that lost it without a proof
	ExcludedSites uint32 // sites that can never run it
	Outcome       uint8
	FinishedBy    uint8 // the site whose work it was, + 1
	Tasks         uint32
	CreatedMS     uint64
}

// Item is one thing asked, told or stored about one register.
type Item struct {
	Kind       Kind
	ID         string
	Ballot     Ballot
	Accepted   Ballot
	HasRecord  bool // Record is there
	Committed  bool
	Durable    bool   // an Ack that outlives the site's daemon
	Running    uint32 // tasks
	Code       uint8
	AckedSites uint32 // sites that acknowledged durably
	Record     Record
}

// Envelope is one message, or one stored batch.
type Envelope struct {
	Items []Item
	Hint  *Hint
	// ConfigChecksum is what the sender was set up with, as a checksum.
	ConfigChecksum uint64
}

// Hint is what a site tells of itself.
type Hint struct {
	Drained  bool
	GPUs     float64 // of machines that are up
	FreeGPUs float64
	Waiting  int // tasks
	Types    []TypeHint
	Teams    []TeamHint
	Images   []string // cached on some machine
}

// TypeHint is a machine type of a site.
type TypeHint struct {
	Name                 string
	CPUs, GPUs, MemoryGB float64
	Zones                []string
}

// TeamHint is a team at a site.
type TeamHint struct {
	Name                             string
	CPUsMax, GPUsMax, GPUs, UsedGPUs float64
	Waiting                          int
}

// Lease is what a site's daemon answers its controllers.
type Lease struct {
	RemainingMS uint32
	MinRevision uint64
	LostJobs    []string
}

// Bounds of a hint and of a lease.
const (
	MaxTypes    = 64
	MaxTeams    = 200
	MaxImages   = 200
	MaxLostJobs = 2000
)

// Encode writes an envelope.
func Encode(e *Envelope) []byte {
	b := flatbuffers.NewBuilder(256 + 256*len(e.Items))
	offs := make([]flatbuffers.UOffsetT, len(e.Items))
	for i := range e.Items {
		offs[i] = encodeItem(b, &e.Items[i])
	}
	gatewayfb.EnvelopeStartItemsVector(b, len(offs))
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	items := b.EndVector(len(offs))
	var hint flatbuffers.UOffsetT
	if e.Hint != nil {
		hint = encodeHint(b, e.Hint)
	}
	gatewayfb.EnvelopeStart(b)
	gatewayfb.EnvelopeAddVersion(b, Version)
	gatewayfb.EnvelopeAddItems(b, items)
	gatewayfb.EnvelopeAddConfig(b, e.ConfigChecksum)
	if hint != 0 {
		gatewayfb.EnvelopeAddHint(b, hint)
	}
	b.Finish(gatewayfb.EnvelopeEnd(b))
	return b.FinishedBytes()
}

func encodeItem(b *flatbuffers.Builder, it *Item) flatbuffers.UOffsetT {
	id := b.CreateString(it.ID)
	var spec flatbuffers.UOffsetT
	r := &it.Record
	if len(r.Spec) > 0 {
		spec = b.CreateByteVector(r.Spec)
	}
	gatewayfb.RegisterStart(b)
	gatewayfb.RegisterAddKind(b, byte(it.Kind))
	gatewayfb.RegisterAddId(b, id)
	gatewayfb.RegisterAddBallotN(b, it.Ballot.Number)
	gatewayfb.RegisterAddBallotWho(b, it.Ballot.Proposer)
	gatewayfb.RegisterAddAcceptedN(b, it.Accepted.Number)
	gatewayfb.RegisterAddAcceptedWho(b, it.Accepted.Proposer)
	gatewayfb.RegisterAddEpoch(b, r.Epoch)
	gatewayfb.RegisterAddHolder(b, r.Owner)
	gatewayfb.RegisterAddPrev(b, r.PrevOwner)
	gatewayfb.RegisterAddStopped(b, r.Stopped)
	gatewayfb.RegisterAddLost(b, r.LostSites)
	gatewayfb.RegisterAddBarred(b, r.ExcludedSites)
	gatewayfb.RegisterAddFinal(b, r.Outcome)
	gatewayfb.RegisterAddBy(b, r.FinishedBy)
	gatewayfb.RegisterAddTasks(b, r.Tasks)
	gatewayfb.RegisterAddCreatedMs(b, r.CreatedMS)
	gatewayfb.RegisterAddAcked(b, it.AckedSites)
	gatewayfb.RegisterAddCommitted(b, it.Committed)
	gatewayfb.RegisterAddRunning(b, it.Running)
	gatewayfb.RegisterAddExists(b, it.HasRecord)
	gatewayfb.RegisterAddDurable(b, it.Durable)
	gatewayfb.RegisterAddWhy(b, it.Code)
	if spec != 0 {
		gatewayfb.RegisterAddSpec(b, spec)
	}
	return gatewayfb.RegisterEnd(b)
}

// Decode reads an envelope; whatever the bytes are, it returns an error rather
// than panic.
func Decode(data []byte) (e *Envelope, err error) {
	defer func() {
		if p := recover(); p != nil {
			e, err = nil, fmt.Errorf("malformed gateway message: %v", p)
		}
	}()
	if len(data) < 8 {
		return nil, errors.New("malformed gateway message: too short")
	}
	f := gatewayfb.GetRootAsEnvelope(data, 0)
	if v := f.Version(); v != Version {
		return nil, fmt.Errorf("gateway message of version %d, this program understands %d", v, Version)
	}
	n := f.ItemsLength()
	if n > maxItems {
		return nil, fmt.Errorf("malformed gateway message: %d items, at most %d", n, maxItems)
	}
	e = &Envelope{Items: make([]Item, n), ConfigChecksum: f.Config()}
	if h := f.Hint(nil); h != nil {
		if e.Hint, err = decodeHint(h); err != nil {
			return nil, err
		}
	}
	var r gatewayfb.Register
	for i := range n {
		f.Items(&r, i)
		if e.Items[i], err = decodeItem(&r); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func decodeItem(r *gatewayfb.Register) (Item, error) {
	it := Item{
		Kind: Kind(r.Kind()), ID: string(r.Id()),
		Ballot:    Ballot{r.BallotN(), r.BallotWho()},
		Accepted:  Ballot{r.AcceptedN(), r.AcceptedWho()},
		HasRecord: r.Exists(), Committed: r.Committed(), Running: r.Running(), Durable: r.Durable(), Code: r.Why(), AckedSites: r.Acked(),
		Record: Record{Epoch: r.Epoch(), Owner: r.Holder(), PrevOwner: r.Prev(), Stopped: r.Stopped(),
			LostSites: r.Lost(), ExcludedSites: r.Barred(), Outcome: r.Final(), FinishedBy: r.By(), Tasks: r.Tasks(), CreatedMS: r.CreatedMs()},
	}
	if spec := r.SpecBytes(); len(spec) > 0 {
		it.Record.Spec = append([]byte(nil), spec...)
	}
	rec := &it.Record
	switch {
	case it.Kind >= kindCount:
		return it, fmt.Errorf("malformed gateway message: kind %d", it.Kind)
	case it.Kind != SiteState && it.Kind != RenewLease && it.Kind != LeaseGranted && it.Kind != LeaseDenied && !protocol.ValidJobID(it.ID):
		return it, errors.New("malformed gateway message: id")
	case rec.Owner > MaxMembers || rec.PrevOwner > MaxMembers || rec.FinishedBy > MaxMembers || rec.Outcome > Cancelled:
		return it, errors.New("malformed gateway message: record")
	}
	return it, nil
}

func encodeHint(b *flatbuffers.Builder, h *Hint) flatbuffers.UOffsetT {
	vector := func(offs []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
		b.StartVector(4, len(offs), 4)
		for i := len(offs) - 1; i >= 0; i-- {
			b.PrependUOffsetT(offs[i])
		}
		return b.EndVector(len(offs))
	}
	strings := func(ss []string) flatbuffers.UOffsetT {
		offs := make([]flatbuffers.UOffsetT, len(ss))
		for i, s := range ss {
			offs[i] = b.CreateString(s)
		}
		return vector(offs)
	}
	var types, teams []flatbuffers.UOffsetT
	for i := range h.Types {
		t := &h.Types[i]
		name, zones := b.CreateString(t.Name), strings(t.Zones)
		gatewayfb.MachineTypeStart(b)
		gatewayfb.MachineTypeAddName(b, name)
		gatewayfb.MachineTypeAddCpus(b, float32(t.CPUs))
		gatewayfb.MachineTypeAddGpus(b, float32(t.GPUs))
		gatewayfb.MachineTypeAddMemoryGb(b, float32(t.MemoryGB))
		gatewayfb.MachineTypeAddZones(b, zones)
		types = append(types, gatewayfb.MachineTypeEnd(b))
	}
	for i := range h.Teams {
		t := &h.Teams[i]
		name := b.CreateString(t.Name)
		gatewayfb.TeamStart(b)
		gatewayfb.TeamAddName(b, name)
		gatewayfb.TeamAddCpusMax(b, float32(t.CPUsMax))
		gatewayfb.TeamAddGpusMax(b, float32(t.GPUsMax))
		gatewayfb.TeamAddGpus(b, float32(t.GPUs))
		gatewayfb.TeamAddUsedGpus(b, float32(t.UsedGPUs))
		gatewayfb.TeamAddWaiting(b, uint32(t.Waiting))
		teams = append(teams, gatewayfb.TeamEnd(b))
	}
	ty, te, im := vector(types), vector(teams), strings(h.Images)
	gatewayfb.HintStart(b)
	gatewayfb.HintAddDrained(b, h.Drained)
	gatewayfb.HintAddGpus(b, float32(h.GPUs))
	gatewayfb.HintAddFreeGpus(b, float32(h.FreeGPUs))
	gatewayfb.HintAddWaiting(b, uint32(h.Waiting))
	gatewayfb.HintAddTypes(b, ty)
	gatewayfb.HintAddTeams(b, te)
	gatewayfb.HintAddImages(b, im)
	return gatewayfb.HintEnd(b)
}

func decodeHint(f *gatewayfb.Hint) (*Hint, error) {
	if f.TypesLength() > MaxTypes || f.TeamsLength() > MaxTeams || f.ImagesLength() > MaxImages {
		return nil, fmt.Errorf("malformed gateway message: hint of %d types, %d teams, %d images", f.TypesLength(), f.TeamsLength(), f.ImagesLength())
	}
	h := &Hint{Drained: f.Drained(), GPUs: float64(f.Gpus()), FreeGPUs: float64(f.FreeGpus()), Waiting: int(f.Waiting())}
	var mt gatewayfb.MachineType
	for i := range f.TypesLength() {
		f.Types(&mt, i)
		t := TypeHint{Name: string(mt.Name()), CPUs: float64(mt.Cpus()), GPUs: float64(mt.Gpus()), MemoryGB: float64(mt.MemoryGb())}
		for k := range min(mt.ZonesLength(), MaxTypes) {
			t.Zones = append(t.Zones, string(mt.Zones(k)))
		}
		h.Types = append(h.Types, t)
	}
	var tm gatewayfb.Team
	for i := range f.TeamsLength() {
		f.Teams(&tm, i)
		h.Teams = append(h.Teams, TeamHint{Name: string(tm.Name()), CPUsMax: float64(tm.CpusMax()), GPUsMax: float64(tm.GpusMax()),
			GPUs: float64(tm.Gpus()), UsedGPUs: float64(tm.UsedGpus()), Waiting: int(tm.Waiting())})
	}
	for i := range f.ImagesLength() {
		h.Images = append(h.Images, string(f.Images(i)))
	}
	return h, nil
}

// EncodeLease writes a lease's answer.
func EncodeLease(l *Lease) []byte {
	b := flatbuffers.NewBuilder(256)
	offs := make([]flatbuffers.UOffsetT, min(len(l.LostJobs), MaxLostJobs))
	for i := range offs {
		offs[i] = b.CreateString(l.LostJobs[i])
	}
	b.StartVector(4, len(offs), 4)
	for i := len(offs) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offs[i])
	}
	dead := b.EndVector(len(offs))
	gatewayfb.LeaseStart(b)
	gatewayfb.LeaseAddVersion(b, Version)
	gatewayfb.LeaseAddLeftMs(b, l.RemainingMS)
	gatewayfb.LeaseAddFloor(b, l.MinRevision)
	gatewayfb.LeaseAddDead(b, dead)
	b.Finish(gatewayfb.LeaseEnd(b))
	return b.FinishedBytes()
}

// DecodeLease reads a lease's answer.
func DecodeLease(data []byte) (l *Lease, err error) {
	defer func() {
		if p := recover(); p != nil {
			l, err = nil, fmt.Errorf("malformed lease: %v", p)
		}
	}()
	if len(data) < 8 {
		return nil, errors.New("malformed lease: too short")
	}
	f := gatewayfb.GetRootAsLease(data, 0)
	if v := f.Version(); v != Version {
		return nil, fmt.Errorf("lease of version %d, this program understands %d", v, Version)
	}
	if f.DeadLength() > MaxLostJobs {
		return nil, errors.New("malformed lease: too many jobs")
	}
	l = &Lease{RemainingMS: f.LeftMs(), MinRevision: f.Floor()}
	for i := range f.DeadLength() {
		l.LostJobs = append(l.LostJobs, string(f.Dead(i)))
	}
	return l, nil
}
