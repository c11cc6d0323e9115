package main

import (
	"encoding/json"
	"flag"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// stateServer serves the project's model of the state service by PROTOCOL, with its limits
// and outages: 503 to every request, open watches stay open, leases get their full time back.
type stateServer struct {
	state           *standin.State
	valueKB         float64
	txnOps          int
	requests, edits *rate.Limiter

	mu      sync.Mutex
	outage  bool
	changed chan struct{} // closed when the outage ends
}

// serveState runs the state service until the process is ended.
func serveState(args []string) {
	flags := flag.NewFlagSet("state", flag.ExitOnError)
	listen := flags.String("listen", "", "address of the service")
	control := flags.String("control", "", "address at which an outage is begun and ended")
	rps := flags.Float64("rps", 120, "requests a second")
	writeRPS := flags.Float64("writes", 40, "puts and deletions a second")
	valueKB := flags.Float64("value", 8, "KiB a value")
	txnOps := flags.Int("ops", 12, "puts and deletions a transaction")
	flags.Parse(args)
	s := &stateServer{state: standin.NewState(), valueKB: *valueKB, txnOps: *txnOps, changed: make(chan struct{}),
		requests: rate.NewLimiter(rate.Limit(*rps), int(*rps)), edits: rate.NewLimiter(rate.Limit(*writeRPS), int(*writeRPS))}
	go func() { log.Fatal(http.ListenAndServe(*control, http.HandlerFunc(s.control))) }()
	log.Fatal(http.ListenAndServe(*listen, http.HandlerFunc(s.serve)))
}

// control begins or ends an outage.
func (s *stateServer) control(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch on := r.URL.Path == "/outage/on"; {
	case on && !s.outage:
		s.outage = true
		go func() {
			for s.down() {
				s.state.RenewAllLeases()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	case !on && s.outage:
		s.state.RenewAllLeases()
		s.outage = false
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// down reports whether there is an outage.
func (s *stateServer) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

// reply answers a request with a JSON value.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// object is a JSON object.
type object = map[string]any

func (s *stateServer) serve(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		reply(w, 503, object{"error": "trouble"})
		return
	}
	if !s.requests.Allow() {
		reply(w, 429, object{"error": "rate"})
		return
	}
	q := r.URL.Query()
	path := r.URL.Path
	lease, isLease := strings.CutPrefix(path, "/leases/")
	leaseID, _ := strconv.ParseUint(strings.TrimSuffix(lease, "/extend"), 10, 64)
	key, isKey := strings.CutPrefix(path, "/store/")
	switch {
	case path == "/txn":
		s.transaction(w, r)
	case path == "/watch":
		s.watch(w, r)
	case path == "/store":
		s.list(w, r, q.Get("under"), q.Get("since"), q.Get("limit"))
	case isKey:
		item, _ := s.state.Get(r.Context(), key)
		if item.Value == nil {
			reply(w, 404, object{"epoch": item.Revision})
			return
		}
		reply(w, 200, item)
	case path == "/leases":
		var body struct{ LifeMs int64 }
		json.NewDecoder(r.Body).Decode(&body)
		id, _ := s.state.Grant(r.Context(), time.Duration(body.LifeMs)*time.Millisecond)
		reply(w, 200, object{"permit": id})
	case isLease && r.Method == "DELETE":
		s.state.Release(r.Context(), leaseID)
		reply(w, 200, object{})
	case isLease:
		if s.state.Renew(r.Context(), leaseID) != nil {
			reply(w, 404, object{})
			return
		}
		reply(w, 200, object{})
	default:
		reply(w, 400, object{"error": "malformed"})
	}
}

func (s *stateServer) list(w http.ResponseWriter, r *http.Request, under, since, limitText string) {
	items, revision, _ := s.state.List(r.Context(), under)
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit > 1000 {
		limit = 1000
	}
	page, size, more := []storage.Item{}, 0, false
	for _, item := range items {
		if item.Key <= since {
			continue
		}
		if len(page) == limit || size+len(item.Value) > 512<<10 {
			more = true
			break
		}
		page, size = append(page, item), size+len(item.Value)+len(item.Key)
	}
	reply(w, 200, object{"items": page, "hasNext": more, "epoch": revision})
}

func (s *stateServer) transaction(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	var txn struct {
		If     []storage.Cond
		Writes []storage.Write
	}
	if err == nil {
		err = json.Unmarshal(data, &txn)
	}
	malformed := err != nil || len(data) > 64<<10 || len(txn.Writes) > s.txnOps || len(txn.If) > 4*s.txnOps
	for _, write := range txn.Writes {
		malformed = malformed || float64(len(write.Value)) > s.valueKB*1024
	}
	if malformed {
		log.Printf("malformed transaction of %d bytes, %d conditions, %d writes: %v", len(data), len(txn.If), len(txn.Writes), err)
		reply(w, 400, object{"error": "malformed"})
		return
	}
	if n := len(txn.Writes); n > 0 && !s.edits.AllowN(time.Now(), n) {
		reply(w, 429, object{"error": "rate"})
		return
	}
	ok, revision, failed, err := s.state.Txn(r.Context(), txn.If, txn.Writes)
	switch {
	case err != nil:
		reply(w, 400, object{"error": err.Error()})
	case ok:
		reply(w, 200, object{"epoch": revision})
	default:
		reply(w, 409, object{"failed": failed, "epoch": revision})
	}
}

func (s *stateServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	holdMS, _ := strconv.Atoi(q.Get("holdMs"))
	items, revision, err := s.state.Watch(r.Context(), q.Get("under"), since, time.Duration(holdMS)*time.Millisecond)
	if err != nil {
		return
	}
	// A watch that is open when an outage begins stays open until it is over.
	for {
		s.mu.Lock()
		down, changed := s.outage, s.changed
		s.mu.Unlock()
		if !down {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	events := []object{}
	for _, item := range items {
		if item.Value == nil {
			events = append(events, object{"drop": item.Key, "stamp": item.Revision})
		} else {
			events = append(events, object{"put": item.Key, "v": item.Value, "stamp": item.Revision})
		}
	}
	reply(w, 200, object{"epoch": revision, "events": events})
}
