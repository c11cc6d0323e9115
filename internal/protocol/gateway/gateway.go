// Package gateway defines the messages between the members of a gateway (gateways and
// sites), the batches of registers that each member stores, and the settings file of a
// member. Members agree on each job with a consensus protocol: a job's record is a
// register with ballots that a majority of the members accepts. Messages are encoded with
// FlatBuffers; the schema is gateway.fbs.
package gateway

import (
	"errors"
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/protocol/gateway/gatewayfb"
)

// Version is the version of the message format. A message of any other version is rejected
// with an error, never ignored.
const Version = 1

// MaxMembers is the maximum number of members of a gateway. Sets of members are bit masks.
const MaxMembers = 15

// maxItems is the maximum number of items in an envelope.
const maxItems = 4096

// Kind is the kind of an item.
type Kind uint8

// Kinds of items. Stored batches contain RegisterState and SiteState items only.
const (
	RegisterState Kind = iota // the stored register of an acceptor
	Prepare                   // request to promise to accept nothing below Ballot
	Promise                   // answer to Prepare; Accepted and Record are the proposal accepted before
	Accept                    // request to accept Record under Ballot
	Accepted                  // answer to Accept
	Nack                      // rejected for the reason Code; Accepted is the higher ballot
	Commit                    // a majority has accepted the proposal of Ballot
	Read                      // request for the accepted record; Ballot.Number identifies the request
	ReadReply                 // answer to Read
	Notice                    // sent to a site: the new record of a job that concerns the site
	Ack                       // answer to Notice: the site's claims below Record.Epoch are revoked there
	Progress                  // numbers of done (Record.Tasks) and running tasks of an open job, for display
	RenewLease                // a site's request for its lease; Ballot is the request's number and session
	LeaseGranted              // the lease is granted
	LeaseDenied               // the lease is not granted: the site has not acknowledged its notices

	// Between a site's daemon and its controllers.
	Submit // run the job under the claim of Record.Epoch
	Stop   // end the claim of Record.Epoch and all earlier ones
	Poll   // report the state of the job
	Result // answer to Submit, Stop and Poll; Code is its result

	// Stored by a site in addition to its registers.
	SiteState // the state of the site; Durable: it is drained
	kindCount
)

// Reasons of a Nack, in Item.Code.
const (
	HigherBallot uint8 = iota // a higher ballot was promised to another proposer
	LeaseActive               // the site that would lose the job may still run it under its lease
)

// WithSpec is the Item.Code of a Read that asks for the submission too. Members that
// do not know it reply without.
const WithSpec uint8 = 1

// Codes of a Result, in Item.Code.
const (
	Unavailable uint8 = iota // nothing is known to have happened; retry the call
	Active                   // the job is at the site and has not ended
	ClaimEnded               // no task of it runs at the site, nor ever will under a claim up to Record.Epoch
	Completed                // all tasks of the job are done
	Refused                  // the job can never run at the site
	Conflict                 // the site has an own job with this id
	NotFound                 // the site has no job with this id
)

// Ballot orders the proposals of one register. Proposer combines the proposer's member
// number with the number of its start, so that two processes that both run as the same
// member never use the same ballot.
type Ballot struct {
	Number   uint64
	Proposer uint32
}

// Less reports whether b is lower than o.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// Outcomes of a job.
const (
	Open uint8 = iota
	Done
	Cancelled
)

// Record is the state of one job that the members agree on.
type Record struct {
	Spec          []byte // the submission; removed once the job has a final outcome
	Epoch         uint32 // incremented with every claim
	Owner         uint8  // the site that owns the job, as its member number + 1; 0: none
	PrevOwner     uint8  // the site that the job was taken from before it confirmed its stop, + 1; 0: none
	Stopped       bool   // the owner has confirmed that no task of the job runs any more
	LostSites     uint32 // bit mask of the sites that lost the job before they confirmed its stop
	ExcludedSites uint32 // bit mask of the sites that can never run the job
	Outcome       uint8
	FinishedBy    uint8 // the site that completed the job, + 1
	Tasks         uint32
	CreatedMS     uint64
}

// Item is one request, answer or stored state that concerns one register.
type Item struct {
	Kind       Kind
	ID         string
	Ballot     Ballot
	Accepted   Ballot
	HasRecord  bool // Record is set
	Committed  bool
	Durable    bool   // of an Ack: it stays valid after a restart of the site's daemon
	Running    uint32 // number of running tasks
	Code       uint8
	AckedSites uint32 // bit mask of the sites that acknowledged durably
	Record     Record
}

// Envelope is one message or one stored batch.
type Envelope struct {
	Items []Item
	Hint  *Hint
	// ConfigChecksum is the Checksum of the sender's settings.
	ConfigChecksum uint64
}

// Hint is a site's description of itself, on which routing is based.
type Hint struct {
	Drained  bool
	GPUs     float64 // of machines that are up
	FreeGPUs float64
	Waiting  int // tasks
	Types    []TypeHint
	Teams    []TeamHint
	Images   []string // cached on some machine
}

// TypeHint describes a machine type of a site.
type TypeHint struct {
	Name                 string
	CPUs, GPUs, MemoryGB float64
	Zones                []string
}

// TeamHint describes a team's limits, usage and waiting tasks at a site.
type TeamHint struct {
	Name                             string
	CPUsMax, GPUsMax, GPUs, UsedGPUs float64
	Waiting                          int
}

// Lease is the answer of a site's daemon to its controllers: for how long they may run
// gateway jobs, the revision that their replica of the state service must have reached, and
// the jobs that must not run any more.
type Lease struct {
	RemainingMS uint32
	MinRevision uint64
	LostJobs    []string
}

// Maximum numbers of elements in a hint and in a lease.
const (
	MaxTypes    = 64
	MaxTeams    = 200
	MaxImages   = 200
	MaxLostJobs = 2000
)

// Encode encodes an envelope.
func Encode(e *Envelope) []byte {
	b := flatbuffers.NewBuilder(256 + 256*len(e.Items))
	offsets := make([]flatbuffers.UOffsetT, len(e.Items))
	for i := range e.Items {
		offsets[i] = encodeItem(b, &e.Items[i])
	}
	gatewayfb.EnvelopeStartItemsVector(b, len(offsets))
	for i := len(offsets) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offsets[i])
	}
	items := b.EndVector(len(offsets))
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

// Decode decodes an envelope. It returns an error if the data is malformed; it never
// panics.
func Decode(data []byte) (e *Envelope, err error) {
	defer func() {
		if p := recover(); p != nil {
			e, err = nil, fmt.Errorf("malformed gateway message: %v", p)
		}
	}()
	if len(data) < 8 {
		return nil, errors.New("malformed gateway message: too short")
	}
	msg := gatewayfb.GetRootAsEnvelope(data, 0)
	if v := msg.Version(); v != Version {
		return nil, fmt.Errorf("gateway message of version %d, this program understands %d", v, Version)
	}
	n := msg.ItemsLength()
	if n > maxItems {
		return nil, fmt.Errorf("malformed gateway message: %d items, at most %d", n, maxItems)
	}
	e = &Envelope{Items: make([]Item, n), ConfigChecksum: msg.Config()}
	if h := msg.Hint(nil); h != nil {
		if e.Hint, err = decodeHint(h); err != nil {
			return nil, err
		}
	}
	var r gatewayfb.Register
	for i := range n {
		msg.Items(&r, i)
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
	vector := func(offsets []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
		b.StartVector(4, len(offsets), 4)
		for i := len(offsets) - 1; i >= 0; i-- {
			b.PrependUOffsetT(offsets[i])
		}
		return b.EndVector(len(offsets))
	}
	strings := func(list []string) flatbuffers.UOffsetT {
		offsets := make([]flatbuffers.UOffsetT, len(list))
		for i, s := range list {
			offsets[i] = b.CreateString(s)
		}
		return vector(offsets)
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
	typeVector, teamVector, imageVector := vector(types), vector(teams), strings(h.Images)
	gatewayfb.HintStart(b)
	gatewayfb.HintAddDrained(b, h.Drained)
	gatewayfb.HintAddGpus(b, float32(h.GPUs))
	gatewayfb.HintAddFreeGpus(b, float32(h.FreeGPUs))
	gatewayfb.HintAddWaiting(b, uint32(h.Waiting))
	gatewayfb.HintAddTypes(b, typeVector)
	gatewayfb.HintAddTeams(b, teamVector)
	gatewayfb.HintAddImages(b, imageVector)
	return gatewayfb.HintEnd(b)
}

func decodeHint(msg *gatewayfb.Hint) (*Hint, error) {
	if msg.TypesLength() > MaxTypes || msg.TeamsLength() > MaxTeams || msg.ImagesLength() > MaxImages {
		return nil, fmt.Errorf("malformed gateway message: hint of %d types, %d teams, %d images", msg.TypesLength(), msg.TeamsLength(), msg.ImagesLength())
	}
	h := &Hint{Drained: msg.Drained(), GPUs: float64(msg.Gpus()), FreeGPUs: float64(msg.FreeGpus()), Waiting: int(msg.Waiting())}
	var mt gatewayfb.MachineType
	for i := range msg.TypesLength() {
		msg.Types(&mt, i)
		t := TypeHint{Name: string(mt.Name()), CPUs: float64(mt.Cpus()), GPUs: float64(mt.Gpus()), MemoryGB: float64(mt.MemoryGb())}
		for k := range min(mt.ZonesLength(), MaxTypes) {
			t.Zones = append(t.Zones, string(mt.Zones(k)))
		}
		h.Types = append(h.Types, t)
	}
	var tm gatewayfb.Team
	for i := range msg.TeamsLength() {
		msg.Teams(&tm, i)
		h.Teams = append(h.Teams, TeamHint{Name: string(tm.Name()), CPUsMax: float64(tm.CpusMax()), GPUsMax: float64(tm.GpusMax()),
			GPUs: float64(tm.Gpus()), UsedGPUs: float64(tm.UsedGpus()), Waiting: int(tm.Waiting())})
	}
	for i := range msg.ImagesLength() {
		h.Images = append(h.Images, string(msg.Images(i)))
	}
	return h, nil
}

// EncodeLease encodes a lease.
func EncodeLease(l *Lease) []byte {
	b := flatbuffers.NewBuilder(256)
	offsets := make([]flatbuffers.UOffsetT, min(len(l.LostJobs), MaxLostJobs))
	for i := range offsets {
		offsets[i] = b.CreateString(l.LostJobs[i])
	}
	b.StartVector(4, len(offsets), 4)
	for i := len(offsets) - 1; i >= 0; i-- {
		b.PrependUOffsetT(offsets[i])
	}
	dead := b.EndVector(len(offsets))
	gatewayfb.LeaseStart(b)
	gatewayfb.LeaseAddVersion(b, Version)
	gatewayfb.LeaseAddLeftMs(b, l.RemainingMS)
	gatewayfb.LeaseAddFloor(b, l.MinRevision)
	gatewayfb.LeaseAddDead(b, dead)
	b.Finish(gatewayfb.LeaseEnd(b))
	return b.FinishedBytes()
}

// DecodeLease decodes a lease. It returns an error if the data is malformed.
func DecodeLease(data []byte) (l *Lease, err error) {
	defer func() {
		if p := recover(); p != nil {
			l, err = nil, fmt.Errorf("malformed lease: %v", p)
		}
	}()
	if len(data) < 8 {
		return nil, errors.New("malformed lease: too short")
	}
	msg := gatewayfb.GetRootAsLease(data, 0)
	if v := msg.Version(); v != Version {
		return nil, fmt.Errorf("lease of version %d, this program understands %d", v, Version)
	}
	if msg.DeadLength() > MaxLostJobs {
		return nil, errors.New("malformed lease: too many jobs")
	}
	l = &Lease{RemainingMS: msg.LeftMs(), MinRevision: msg.Floor()}
	for i := range msg.DeadLength() {
		l.LostJobs = append(l.LostJobs, string(msg.Dead(i)))
	}
	return l, nil
}
