// Command standin serves the state service and the cloud with its workers, in
// memory, for a first try of dapplestage on one machine. It is a toy for
// loopback: nothing in it lasts or scales.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/standin"
	"dapplestage.example/dapplestage/internal/storage"
)

// options are the command line's.
type options struct {
	state, cloud, nodes, zone, events string
	boot, fetch                       time.Duration
	lease, report                     float64
	machines, workers                 int
	place                             bool
	farm                              uint64
}

func readOptions() *options {
	o := &options{}
	flag.StringVar(&o.state, "state", "127.0.0.1:2379", "address of the state service; empty: none")
	flag.StringVar(&o.cloud, "cloud", "127.0.0.1:8443", "address of the cloud; empty: none")
	flag.StringVar(&o.nodes, "nodes", "n-0=127.0.0.1:8080", "the controllers, as name=address,...")
	flag.DurationVar(&o.boot, "boot", 3*time.Second, "boot time of a machine")
	flag.DurationVar(&o.fetch, "fetch", 2*time.Second, "time to fetch an image")
	flag.Float64Var(&o.lease, "lease", 10, "a worker's lease in seconds")
	flag.Float64Var(&o.report, "report", 1, "seconds between a worker's reports")
	flag.StringVar(&o.zone, "zone", "a", "the zone of all machines")
	flag.IntVar(&o.machines, "machines", 8, "machines to give")
	flag.StringVar(&o.events, "events", "", "file for what runs, a JSON line a start and an end")
	flag.IntVar(&o.workers, "workers", 0, "port of the workers' own addresses, 127.77.x.y; 0: nobody can call them")
	flag.BoolVar(&o.place, "place", false, "several types of machine in three zones, some of which run already")
	flag.Uint64Var(&o.farm, "farm", 0, "be render servers that fail, drain and vanish from this seed; 0: no")
	flag.Parse()
	return o
}

func main() {
	o := readOptions()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f, err := newFleet(ctx, o)
	if err != nil {
		log.Fatal(err)
	}
	uploaded := func([]byte) {}
	if o.farm != 0 {
		uploaded = standin.NewRenderFaults(o.farm).InjectInto(f)
	}
	if o.place {
		f.AddInitialMachines()
	}
	serve := func(addr string, h http.Handler) {
		go func() { log.Fatal(http.ListenAndServe(addr, h)) }()
	}
	if o.state != "" {
		serve(o.state, stateAPI(standin.NewState()))
	}
	if o.cloud != "" {
		serve(o.cloud, cloudAPI(f, uploaded))
	}
	log.Printf("state service on %s, cloud on %s, workers report to %s", o.state, o.cloud, o.nodes)
	<-ctx.Done()
	for _, b := range f.Violations {
		fmt.Println("rule broken:", b)
	}
}

// newFleet makes the machines and their workers.
func newFleet(ctx context.Context, o *options) (*standin.Fleet, error) {
	f := standin.NewFleet(ctx)
	addrs := map[string]string{}
	for _, pair := range strings.Split(o.nodes, ",") {
		name, addr, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("-nodes: %q is not name=address", pair)
		}
		addrs[name] = addr
		f.Nodes = append(f.Nodes, name)
	}
	f.Types = []protocol.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5,
		Price: 10, SpotPrice: 4, BootS: o.boot.Seconds(), Zones: []string{o.zone}}}
	f.Workers = protocol.WorkerSettings{ReportS: o.report, LeaseS: o.lease, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	f.MaxMachines, f.BootTime, f.FetchTime = o.machines, o.boot, o.fetch
	if o.place {
		f.ConfigureMixedTypes(o.boot)
	}
	if o.events != "" {
		file, err := os.OpenFile(o.events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		f.OnTaskEvent = func(event, task, machine string, at time.Time) {
			line, _ := json.Marshal(map[string]any{"at": at.UnixNano(), "event": event, "task": task, "machine": machine})
			file.Write(append(line, '\n')) // one write: whole lines
		}
	}
	f.SendReport = reporter(addrs)
	if o.workers > 0 {
		f.WorkerAddress = func(n int) string { return fmt.Sprintf("127.77.%d.%d:%d", n>>8&255, n&255, o.workers) }
		f.StartListener = func(addr string) { go serveWorker(ctx, f, addr) }
	}
	return f, nil
}

// reporter is the workers' link over HTTP. Like real workers it fetches the
// description of a job that it does not know; here the controllers' own
// addresses do not serve one, so submissions pass through the stand-in cloud.
func reporter(addrs map[string]string) standin.ReportFunc {
	return func(ctx context.Context, node string, r protocol.Report) (int, protocol.Orders, string, error) {
		data, err := json.Marshal(r)
		if err != nil {
			return 0, protocol.Orders{}, "", err
		}
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addrs[node]+"/v1/report", bytes.NewReader(data))
		if err != nil {
			return 0, protocol.Orders{}, "", err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, protocol.Orders{}, "", err
		}
		defer resp.Body.Close()
		var both struct {
			protocol.Orders
			protocol.Redirect
		}
		err = json.NewDecoder(resp.Body).Decode(&both)
		return resp.StatusCode, both.Orders, both.ReportTo, err
	}
}

// serveWorker answers direct calls to one worker.
func serveWorker(ctx context.Context, f *standin.Fleet, addr string) {
	r := httprouter.New()
	r.POST("/commands", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var o protocol.Orders
		if json.NewDecoder(io.LimitReader(r.Body, protocol.MaxBodyBytes)).Decode(&o) != nil {
			send(w, 400, struct{}{})
			return
		}
		rep, ok, err := f.Command(r.Context(), addr, o)
		switch {
		case err != nil:
			send(w, 503, struct{}{})
		case ok:
			send(w, 200, rep)
		default:
			send(w, 409, rep)
		}
	})
	r.GET("/inspect", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		rep, err := f.Inspect(r.Context(), addr)
		if err != nil {
			send(w, 503, struct{}{})
			return
		}
		send(w, 200, rep)
	})
	srv := &http.Server{Addr: addr, Handler: r}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.ListenAndServe(); err != nil && ctx.Err() == nil {
		log.Print("worker ", err)
	}
}

func send(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// object is a JSON object.
type object = map[string]any

// stateHandlers serve the state service.
type stateHandlers struct{ state *standin.State }

// stateAPI serves the store as PROTOCOL has it.
func stateAPI(s *standin.State) http.Handler {
	h := stateHandlers{s}
	r := httprouter.New()
	r.GET("/store", h.list)
	r.GET("/store/*key", h.get)
	r.GET("/changes", h.changes)
	r.POST("/txn", h.transaction)
	r.POST("/leases", h.grant)
	r.POST("/leases/:id/extend", h.renew)
	r.DELETE("/leases/:id", h.release)
	r.GET("/watch", h.watch)
	return r
}

func (h stateHandlers) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	items, rev, _ := h.state.List(r.Context(), r.URL.Query().Get("under"))
	if items == nil {
		items = []storage.Item{}
	}
	send(w, 200, object{"items": items, "hasNext": false, "epoch": rev})
}

func (h stateHandlers) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	it, _ := h.state.Get(r.Context(), strings.TrimPrefix(p.ByName("key"), "/"))
	if it.Value == nil {
		send(w, 404, object{"epoch": it.Revision})
		return
	}
	send(w, 200, it)
}

func (h stateHandlers) changes(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	send(w, 200, object{"changes": h.state.ChangeCount()})
}

func (h stateHandlers) transaction(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var t struct {
		If     []storage.Cond
		Writes []storage.Write
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, protocol.MaxBodyBytes)).Decode(&t); err != nil {
		send(w, 400, object{"error": err.Error()})
		return
	}
	ok, rev, failed, err := h.state.Txn(r.Context(), t.If, t.Writes)
	switch {
	case err != nil:
		send(w, 400, object{"error": err.Error()})
	case ok:
		send(w, 200, object{"epoch": rev})
	default:
		send(w, 409, object{"failed": failed, "epoch": rev})
	}
}

func (h stateHandlers) grant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var l struct{ LifeMs int64 }
	json.NewDecoder(r.Body).Decode(&l)
	id, _ := h.state.Grant(r.Context(), time.Duration(l.LifeMs)*time.Millisecond)
	send(w, 200, object{"permit": id})
}

func (h stateHandlers) renew(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, _ := strconv.ParseUint(p.ByName("id"), 10, 64)
	if h.state.Renew(r.Context(), id) != nil {
		send(w, 404, object{})
		return
	}
	send(w, 200, object{})
}

func (h stateHandlers) release(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, _ := strconv.ParseUint(p.ByName("id"), 10, 64)
	h.state.Release(r.Context(), id)
	send(w, 200, object{})
}

func (h stateHandlers) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("holdMs"))
	items, rev, err := h.state.Watch(r.Context(), q.Get("under"), since, time.Duration(hold)*time.Millisecond)
	if err != nil {
		return
	}
	events := []object{}
	for _, it := range items {
		if it.Value == nil {
			events = append(events, object{"drop": it.Key, "stamp": it.Revision})
		} else {
			events = append(events, object{"put": it.Key, "v": it.Value, "stamp": it.Revision})
		}
	}
	send(w, 200, object{"epoch": rev, "events": events})
}

// cloudHandlers serve the cloud.
type cloudHandlers struct {
	fleet    *standin.Fleet
	uploaded func(submission []byte)
}

// cloudAPI serves the cloud, and takes copies of submissions for the workers.
func cloudAPI(f *standin.Fleet, uploaded func([]byte)) http.Handler {
	h := cloudHandlers{f, uploaded}
	r := httprouter.New()
	r.GET("/catalog", h.catalog)
	r.GET("/hosts", h.list)
	r.POST("/hosts", h.rent)
	r.POST("/hosts/return", h.giveBack)
	r.POST("/upload", h.upload)
	// For experiments: how many machines there are to give, and jobs with a mistake.
	r.POST("/limit/:machines", h.limit)
	r.POST("/mistaken/:id/:is", h.mistaken)
	r.POST("/stall/:id/:is", h.stall)
	r.POST("/kill/:machine", h.kill)
	return r
}

func (h cloudHandlers) catalog(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	types, _ := h.fleet.Catalog(r.Context())
	send(w, 200, protocol.Catalog{Types: types})
}

func (h cloudHandlers) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ms, _ := h.fleet.List(r.Context())
	send(w, 200, protocol.MachineList{Machines: ms})
}

func (h cloudHandlers) rent(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q protocol.RentRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		send(w, 400, nil)
		return
	}
	names, err := h.fleet.Rent(r.Context(), q)
	if err != nil {
		send(w, 503, map[string]string{"error": err.Error()})
		return
	}
	send(w, 200, protocol.MachineNames{Machines: names})
}

func (h cloudHandlers) giveBack(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q protocol.MachineNames
	json.NewDecoder(r.Body).Decode(&q)
	h.fleet.Return(r.Context(), q.Machines)
	send(w, 200, struct{}{})
}

func (h cloudHandlers) upload(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, _ := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes))
	s, err := protocol.ParseJob(data)
	if err != nil {
		send(w, 400, map[string]string{"error": err.Error()})
		return
	}
	h.uploaded(data)
	h.fleet.AddJob(s)
	send(w, 200, struct{}{})
}

func (h cloudHandlers) limit(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if n, err := strconv.Atoi(p.ByName("machines")); err == nil {
		h.fleet.SetMaxMachines(n)
	}
	send(w, 200, struct{}{})
}

func (h cloudHandlers) mistaken(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if p.ByName("is") == "true" {
		h.fleet.FailEverywhere(p.ByName("id"))
	} else {
		h.fleet.StopFailing(p.ByName("id"))
	}
	send(w, 200, struct{}{})
}

func (h cloudHandlers) stall(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	h.fleet.SetStalled(p.ByName("id"), p.ByName("is") == "true")
	send(w, 200, struct{}{})
}

func (h cloudHandlers) kill(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	h.fleet.Kill(p.ByName("machine"))
	send(w, 200, struct{}{})
}
