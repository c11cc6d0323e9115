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
	h = Hint{Node: string(f.Node()), StateOK: f.StateOk(), Blind: f.Blind(), Changes: f.Changes(), Revision: f.Revision()}
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
	return h, nil
}
