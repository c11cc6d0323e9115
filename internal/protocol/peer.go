package protocol

//go:generate flatc --go -o . peer.fbs

import (
	"errors"
	"fmt"
	"math"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"dapplestage.example/dapplestage/internal/protocol/peerfb"
)

// Hint is what a controller tells its siblings about itself, and of what some
// of its machines hold.
type Hint struct {
	Node               string
	StateOK            bool
	WorkersUnreachable bool    // it hears no worker
	ChangeRate         float32 // changes a second that it would make
	Revision           uint64
	Caches             []ImageCache
	Incarnation        uint64 // its lease: no other life has it
	Seq                uint64 // of this hint in that life
	Machines           []MachineHint
	RefusedOffers      []RefusedOffer
	// CancelledJobs are some of the jobs that are being cancelled.
	CancelledJobs []CancelledJob
}

// CancelledJob is a job that is being cancelled, and the revision of the record that says so.
type CancelledJob struct {
	Job      string
	Revision uint64
}

// MachineHint is what a holder has learned of a machine and the state service does not know.
type MachineHint struct {
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

// ImageCache is what a machine's image cache is thought to hold, the most recently
// used image last.
type ImageCache struct {
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
	images, caches := encodeCaches(b, h.Caches)
	known := encodeKnown(b, h.Machines)
	refused := encodeRefused(b, h.RefusedOffers)
	cancelled := encodeCancelled(b, h.CancelledJobs)
	peerfb.HintStart(b)
	peerfb.HintAddImages(b, images)
	peerfb.HintAddCaches(b, caches)
	peerfb.HintAddNode(b, node)
	peerfb.HintAddStateOk(b, h.StateOK)
	peerfb.HintAddRevision(b, h.Revision)
	peerfb.HintAddBlind(b, h.WorkersUnreachable)
	peerfb.HintAddChanges(b, h.ChangeRate)
	peerfb.HintAddLife(b, h.Incarnation)
	peerfb.HintAddSeq(b, h.Seq)
	peerfb.HintAddKnown(b, known)
	peerfb.HintAddRefused(b, refused)
	peerfb.HintAddCancelled(b, cancelled)
	b.Finish(peerfb.HintEnd(b))
	return b.FinishedBytes()
}

// encodeCaches writes each image once, and for each machine which of them it holds.
func encodeCaches(b *flatbuffers.Builder, all []ImageCache) (images, caches flatbuffers.UOffsetT) {
	index := map[CachedImage]uint16{}
	var imageOffsets, cacheOffsets []flatbuffers.UOffsetT
	for _, c := range all {
		for _, im := range c.Images {
			if _, ok := index[im]; ok || len(imageOffsets) > math.MaxUint16 {
				continue
			}
			index[im] = uint16(len(imageOffsets))
			imageOffsets = append(imageOffsets, encodeImage(b, im))
		}
		cacheOffsets = append(cacheOffsets, encodeCache(b, c, index))
	}
	return b.CreateVectorOfTables(imageOffsets), b.CreateVectorOfTables(cacheOffsets)
}

func encodeImage(b *flatbuffers.Builder, im CachedImage) flatbuffers.UOffsetT {
	name := b.CreateString(im.Name)
	peerfb.ImageStart(b)
	peerfb.ImageAddName(b, name)
	peerfb.ImageAddGb(b, float32(im.GB))
	return peerfb.ImageEnd(b)
}

func encodeCache(b *flatbuffers.Builder, c ImageCache, index map[CachedImage]uint16) flatbuffers.UOffsetT {
	name := b.CreateString(c.Machine)
	peerfb.CacheStartHoldsVector(b, len(c.Images))
	for _, im := range slices.Backward(c.Images) {
		b.PrependUint16(index[im])
	}
	holds := b.EndVector(len(c.Images))
	peerfb.CacheStart(b)
	peerfb.CacheAddMachine(b, name)
	peerfb.CacheAddHolds(b, holds)
	return peerfb.CacheEnd(b)
}

func encodeKnown(b *flatbuffers.Builder, all []MachineHint) flatbuffers.UOffsetT {
	var offsets []flatbuffers.UOffsetT
	for _, k := range all {
		name := b.CreateString(k.Machine)
		peerfb.KnownStart(b)
		peerfb.KnownAddMachine(b, name)
		peerfb.KnownAddSecPerGb(b, float32(k.SecPerGB))
		peerfb.KnownAddAgeS(b, float32(k.AgeS))
		offsets = append(offsets, peerfb.KnownEnd(b))
	}
	return b.CreateVectorOfTables(offsets)
}

func encodeRefused(b *flatbuffers.Builder, all []RefusedOffer) flatbuffers.UOffsetT {
	var offsets []flatbuffers.UOffsetT
	for _, r := range all {
		typ, zone := b.CreateString(r.Type), b.CreateString(r.Zone)
		peerfb.RefusedStart(b)
		peerfb.RefusedAddType(b, typ)
		peerfb.RefusedAddZone(b, zone)
		peerfb.RefusedAddSpot(b, r.Spot)
		peerfb.RefusedAddForS(b, float32(r.ForS))
		offsets = append(offsets, peerfb.RefusedEnd(b))
	}
	return b.CreateVectorOfTables(offsets)
}

func encodeCancelled(b *flatbuffers.Builder, all []CancelledJob) flatbuffers.UOffsetT {
	var offsets []flatbuffers.UOffsetT
	for _, c := range all {
		job := b.CreateString(c.Job)
		peerfb.CancelledStart(b)
		peerfb.CancelledAddJob(b, job)
		peerfb.CancelledAddRevision(b, c.Revision)
		offsets = append(offsets, peerfb.CancelledEnd(b))
	}
	return b.CreateVectorOfTables(offsets)
}

// minMessage is the length of the shortest message: its root and a file identifier.
const minMessage = 8

// decode reads a message. FlatBuffers are not checked by their reader, so that a malformed
// one may make it panic: that is caught here. what names the message in the error.
func decode[T any](what string, data []byte, read func(data []byte) (T, error)) (message T, err error) {
	defer func() {
		if recover() != nil {
			var none T
			message, err = none, fmt.Errorf("malformed %s", what)
		}
	}()
	if len(data) < minMessage {
		return message, fmt.Errorf("malformed %s", what)
	}
	return read(data)
}

// DecodeHint reads a hint; a malformed one is an error.
func DecodeHint(data []byte) (Hint, error) { return decode("hint", data, readHint) }

func readHint(data []byte) (Hint, error) {
	f := peerfb.GetRootAsHint(data, 0)
	h := Hint{Node: string(f.Node()), StateOK: f.StateOk(), WorkersUnreachable: f.Blind(), ChangeRate: f.Changes(), Revision: f.Revision(), Incarnation: f.Life(), Seq: f.Seq()}
	if h.Node == "" {
		return Hint{}, errors.New("hint without a node")
	}
	// A vector can't have more elements than the message has bytes, whatever it says.
	most := len(data)
	h.Caches = readCaches(f, most)
	var k peerfb.Known
	for i := range min(f.KnownLength(), most) {
		f.Known(&k, i)
		h.Machines = append(h.Machines, MachineHint{string(k.Machine()), float64(k.SecPerGb()), float64(k.AgeS())})
	}
	var r peerfb.Refused
	for i := range min(f.RefusedLength(), most) {
		f.Refused(&r, i)
		h.RefusedOffers = append(h.RefusedOffers, RefusedOffer{string(r.Type()), string(r.Zone()), r.Spot(), float64(r.ForS())})
	}
	var c peerfb.Cancelled
	for i := range min(f.CancelledLength(), most) {
		f.Cancelled(&c, i)
		h.CancelledJobs = append(h.CancelledJobs, CancelledJob{string(c.Job()), c.Revision()})
	}
	return h, nil
}

func readCaches(f *peerfb.Hint, most int) (caches []ImageCache) {
	var im peerfb.Image
	images := make([]CachedImage, min(f.ImagesLength(), most))
	for i := range images {
		f.Images(&im, i)
		images[i] = CachedImage{string(im.Name()), float64(im.Gb())}
	}
	var c peerfb.Cache
	for i := range min(f.CachesLength(), most) {
		f.Caches(&c, i)
		cache := ImageCache{Machine: string(c.Machine())}
		for k := range min(c.HoldsLength(), most) {
			cache.Images = append(cache.Images, images[c.Holds(k)])
		}
		caches = append(caches, cache)
	}
	return caches
}
