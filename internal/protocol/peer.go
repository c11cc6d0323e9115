package protocol

//go:generate flatc --go -o . peer.fbs

import (
	"errors"
	"math"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol/peerfb"
)

// Hint is what a controller tells its siblings about itself, and of what some
// of its machines hold.
type Hint struct {
	Node     string
	StateOK  bool
	Blind    bool    // it hears no worker
	Changes  float32 // changes a second that it would make
	Revision uint64
	Caches   []Cache
	Life     uint64 // its lease: no other life has it
	Seq      uint64 // of this hint in that life
	Known    []Known
	Refused  []RefusedOffer
	// Cancelled are some of the jobs that are being cancelled.
	Cancelled []CancelledJob
}

// CancelledJob is a job that is being cancelled, and the revision of the record that says so.
type CancelledJob struct {
	Job      string
	Revision uint64
}

// Known is what a holder has learned of a machine and the state service does not know.
type Known struct {
	Machine  string
	SecPerGB float64 // 0: nothing
	AgeS     float64 // since its last report was answered
}

// RefusedOffer is a kind of machine that the cloud refuses at present.
type RefusedOffer struct {
	Type, Zone string
	Spot       bool
	ForS       float64
}

// Cache is what a machine's image cache is thought to hold, the most recently
// used image last.
type Cache struct {
	Machine string
	Images  []CachedImage
}

// CachedImage is an image in a cache.
type CachedImage struct {
	Name string
	GB   float64
}

// Encode writes a hint as FlatBuffers.
func (h Hint) Encode() []byte {
	b := flatbuffers.NewBuilder(64)
	node := b.CreateString(h.Node)
	index := map[CachedImage]uint16{}
	var images, caches []flatbuffers.UOffsetT
	for _, c := range h.Caches {
		for _, im := range c.Images {
			if _, ok := index[im]; ok || len(images) > math.MaxUint16 {
				continue
			}
			index[im] = uint16(len(images))
			name := b.CreateString(im.Name)
			peerfb.ImageStart(b)
			peerfb.ImageAddName(b, name)
			peerfb.ImageAddGb(b, float32(im.GB))
			images = append(images, peerfb.ImageEnd(b))
		}
		name := b.CreateString(c.Machine)
		peerfb.CacheStartHoldsVector(b, len(c.Images))
		for _, im := range slices.Backward(c.Images) {
			b.PrependUint16(index[im])
		}
		holds := b.EndVector(len(c.Images))
		peerfb.CacheStart(b)
		peerfb.CacheAddMachine(b, name)
		peerfb.CacheAddHolds(b, holds)
		caches = append(caches, peerfb.CacheEnd(b))
	}
	var known, refused []flatbuffers.UOffsetT
	for _, k := range h.Known {
		name := b.CreateString(k.Machine)
		peerfb.KnownStart(b)
		peerfb.KnownAddMachine(b, name)
		peerfb.KnownAddSecPerGb(b, float32(k.SecPerGB))
		peerfb.KnownAddAgeS(b, float32(k.AgeS))
		known = append(known, peerfb.KnownEnd(b))
	}
	for _, r := range h.Refused {
		typ, zone := b.CreateString(r.Type), b.CreateString(r.Zone)
		peerfb.RefusedStart(b)
		peerfb.RefusedAddType(b, typ)
		peerfb.RefusedAddZone(b, zone)
		peerfb.RefusedAddSpot(b, r.Spot)
		peerfb.RefusedAddForS(b, float32(r.ForS))
		refused = append(refused, peerfb.RefusedEnd(b))
	}
	var cancelled []flatbuffers.UOffsetT
	for _, c := range h.Cancelled {
		job := b.CreateString(c.Job)
		peerfb.CancelledStart(b)
		peerfb.CancelledAddJob(b, job)
		peerfb.CancelledAddRevision(b, c.Revision)
		cancelled = append(cancelled, peerfb.CancelledEnd(b))
	}
	cancelledVec := b.CreateVectorOfTables(cancelled)
	knownVec, refusedVec := b.CreateVectorOfTables(known), b.CreateVectorOfTables(refused)
	imageVec := b.CreateVectorOfTables(images)
	cacheVec := b.CreateVectorOfTables(caches)
	peerfb.HintStart(b)
	peerfb.HintAddImages(b, imageVec)
	peerfb.HintAddCaches(b, cacheVec)
	peerfb.HintAddNode(b, node)
	peerfb.HintAddStateOk(b, h.StateOK)
	peerfb.HintAddRevision(b, h.Revision)
	peerfb.HintAddBlind(b, h.Blind)
	peerfb.HintAddChanges(b, h.Changes)
	peerfb.HintAddLife(b, h.Life)
	peerfb.HintAddSeq(b, h.Seq)
	peerfb.HintAddKnown(b, knownVec)
	peerfb.HintAddRefused(b, refusedVec)
	peerfb.HintAddCancelled(b, cancelledVec)
	b.Finish(peerfb.HintEnd(b))
	return b.FinishedBytes()
}

// DecodeHint reads a hint. FlatBuffers are not checked by their reader, so a
// malformed one, which may make it panic, is caught here.
func DecodeHint(data []byte) (h Hint, err error) {
	defer func() {
		if recover() != nil {
			h, err = Hint{}, errors.New("malformed hint")
		}
	}()
	if len(data) < 8 {
		return Hint{}, errors.New("malformed hint")
	}
	f := peerfb.GetRootAsHint(data, 0)
	h = Hint{Node: string(f.Node()), StateOK: f.StateOk(), Blind: f.Blind(), Changes: f.Changes(), Revision: f.Revision(), Life: f.Life(), Seq: f.Seq()}
	if h.Node == "" {
		return Hint{}, errors.New("hint without a node")
	}
	var im peerfb.Image
	images := make([]CachedImage, min(f.ImagesLength(), len(data)))
	for i := range images {
		f.Images(&im, i)
		images[i] = CachedImage{string(im.Name()), float64(im.Gb())}
	}
	var c peerfb.Cache
	for i := range min(f.CachesLength(), len(data)) {
		f.Caches(&c, i)
		cache := Cache{Machine: string(c.Machine())}
		for k := range min(c.HoldsLength(), len(data)) {
			cache.Images = append(cache.Images, images[c.Holds(k)])
		}
		h.Caches = append(h.Caches, cache)
	}
	var k peerfb.Known
	for i := range min(f.KnownLength(), len(data)) {
		f.Known(&k, i)
		h.Known = append(h.Known, Known{string(k.Machine()), float64(k.SecPerGb()), float64(k.AgeS())})
	}
	var r peerfb.Refused
	for i := range min(f.RefusedLength(), len(data)) {
		f.Refused(&r, i)
		h.Refused = append(h.Refused, RefusedOffer{string(r.Type()), string(r.Zone()), r.Spot(), float64(r.ForS())})
	}
	var x peerfb.Cancelled
	for i := range min(f.CancelledLength(), len(data)) {
		f.Cancelled(&x, i)
		h.Cancelled = append(h.Cancelled, CancelledJob{string(x.Job()), x.Revision()})
	}
	return h, nil
}
