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

// Hint is the message that a controller sends to its peers periodically: its own state,
// and facts about some of its machines, rental offers and jobs.
type Hint struct {
	Node               string
	StateOK            bool
	WorkersUnreachable bool    // no worker reaches the node or answers it
	ChangeRate         float32 // state service changes per second that the node would make
	Revision           uint64
	Caches             []ImageCache
	Incarnation        uint64 // the node's lease, which is unique to this run of its process
	Seq                uint64 // sequence number of this hint within the incarnation
	Machines           []MachineHint
	RefusedOffers      []RefusedOffer
	// CancelledJobs are some of the jobs that are being cancelled.
	CancelledJobs []CancelledJob
}

// CancelledJob is a job that is being cancelled, and the revision of the job record that
// requests it.
type CancelledJob struct {
	Job      string
	Revision uint64
}

// MachineHint holds facts about a machine that its partition's owner knows and that are
// not stored in the state service.
type MachineHint struct {
	Machine  string
	SecPerGB float64 // measured image fetch time; 0: not known
	AgeS     float64 // seconds since the owner last answered a report of the machine
}

// RefusedOffer is an offer (type, zone and spot) that the cloud refused lately. It is not
// requested again for ForS seconds.
type RefusedOffer struct {
	Type, Zone string
	Spot       bool
	ForS       float64
}

// ImageCache is the expected content of a machine's image cache, with the most recently
// used image last.
type ImageCache struct {
	Machine string
	Images  []CachedImage
}

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Name string
	GB   float64
}

// Encode encodes a hint with FlatBuffers.
func (h Hint) Encode() []byte {
	b := flatbuffers.NewBuilder(64)
	node := b.CreateString(h.Node)
	images, caches := encodeCaches(b, h.Caches)
	known := encodeMachineHints(b, h.Machines)
	refused := encodeRefusedOffers(b, h.RefusedOffers)
	cancelled := encodeCancelledJobs(b, h.CancelledJobs)
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

// encodeCaches writes each image once, and for each machine the indices of its images.
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

func encodeMachineHints(b *flatbuffers.Builder, all []MachineHint) flatbuffers.UOffsetT {
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

func encodeRefusedOffers(b *flatbuffers.Builder, all []RefusedOffer) flatbuffers.UOffsetT {
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

func encodeCancelledJobs(b *flatbuffers.Builder, all []CancelledJob) flatbuffers.UOffsetT {
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

// minMessageBytes is the length of the shortest message: a root offset and a file identifier.
const minMessageBytes = 8

// decodeMessage reads a message with read and returns an error if it is malformed. The
// FlatBuffers accessors do not validate their input and may panic on malformed data; the
// panic is recovered here. what names the message in the error.
func decodeMessage[T any](what string, data []byte, read func(data []byte) (T, error)) (message T, err error) {
	defer func() {
		if recover() != nil {
			var none T
			message, err = none, fmt.Errorf("malformed %s", what)
		}
	}()
	if len(data) < minMessageBytes {
		return message, fmt.Errorf("malformed %s", what)
	}
	return read(data)
}

// DecodeHint decodes a hint. It returns an error if the hint is malformed.
func DecodeHint(data []byte) (Hint, error) { return decodeMessage("hint", data, readHint) }

func readHint(data []byte) (Hint, error) {
	msg := peerfb.GetRootAsHint(data, 0)
	h := Hint{Node: string(msg.Node()), StateOK: msg.StateOk(), WorkersUnreachable: msg.Blind(), ChangeRate: msg.Changes(), Revision: msg.Revision(), Incarnation: msg.Life(), Seq: msg.Seq()}
	if h.Node == "" {
		return Hint{}, errors.New("hint without a node")
	}
	// A malformed message may claim any vector length; a vector can't have more elements
	// than the message has bytes.
	maxElements := len(data)
	h.Caches = readCaches(msg, maxElements)
	var k peerfb.Known
	for i := range min(msg.KnownLength(), maxElements) {
		msg.Known(&k, i)
		h.Machines = append(h.Machines, MachineHint{string(k.Machine()), float64(k.SecPerGb()), float64(k.AgeS())})
	}
	var r peerfb.Refused
	for i := range min(msg.RefusedLength(), maxElements) {
		msg.Refused(&r, i)
		h.RefusedOffers = append(h.RefusedOffers, RefusedOffer{string(r.Type()), string(r.Zone()), r.Spot(), float64(r.ForS())})
	}
	var c peerfb.Cancelled
	for i := range min(msg.CancelledLength(), maxElements) {
		msg.Cancelled(&c, i)
		h.CancelledJobs = append(h.CancelledJobs, CancelledJob{string(c.Job()), c.Revision()})
	}
	return h, nil
}

func readCaches(msg *peerfb.Hint, maxElements int) (caches []ImageCache) {
	var im peerfb.Image
	images := make([]CachedImage, min(msg.ImagesLength(), maxElements))
	for i := range images {
		msg.Images(&im, i)
		images[i] = CachedImage{string(im.Name()), float64(im.Gb())}
	}
	var c peerfb.Cache
	for i := range min(msg.CachesLength(), maxElements) {
		msg.Caches(&c, i)
		cache := ImageCache{Machine: string(c.Machine())}
		for k := range min(c.HoldsLength(), maxElements) {
			cache.Images = append(cache.Images, images[c.Holds(k)])
		}
		caches = append(caches, cache)
	}
	return caches
}
