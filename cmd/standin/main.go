// Command standin serves an in-memory state service and a simulated cloud with its
// workers, for a trial of dapplestage on one machine. It is meant for loopback
// only: it stores nothing on disk and is not built for load.
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

// options are the command line's flags.
type options struct {
	stateAddr, cloudAddr, nodes, zone, eventsPath string
	bootTime, fetchTime                           time.Duration
	leaseSeconds, reportSeconds                   float64
	maxMachines, workersPort                      int
	mixedTypes                                    bool
	renderSeed                                    uint64
	copies                                        copyOptions
}

func readOptions() *options {
	opts := &options{}
	flag.StringVar(&opts.stateAddr, "state", "127.0.0.1:2379", "address of the state service; empty: none")
	flag.StringVar(&opts.cloudAddr, "cloud", "127.0.0.1:8443", "address of the cloud; empty: none")
	flag.StringVar(&opts.nodes, "nodes", "n-0=127.0.0.1:8080", "the controllers, as name=address,...")
	flag.DurationVar(&opts.bootTime, "boot", 3*time.Second, "boot time of a machine")
	flag.DurationVar(&opts.fetchTime, "fetch", 2*time.Second, "time to fetch an image")
	flag.Float64Var(&opts.leaseSeconds, "lease", 10, "a worker's lease in seconds")
	flag.Float64Var(&opts.reportSeconds, "report", 1, "seconds between a worker's reports")
	flag.StringVar(&opts.zone, "zone", "a", "the zone of all machines")
	flag.IntVar(&opts.maxMachines, "machines", 8, "most machines at a time")
	flag.StringVar(&opts.eventsPath, "events", "", "file for task events, one JSON line for each start and each end")
	flag.IntVar(&opts.workersPort, "workers", 0, "port of the workers' addresses, 127.77.x.y; 0: workers can't be called directly")
	flag.BoolVar(&opts.mixedTypes, "place", false, "several types of machine in three zones, some of which run already")
	flag.Uint64Var(&opts.renderSeed, "farm", 0, "seed of injected render-farm faults: task errors, interruption notices and lost machines; 0: none")
	flag.Float64Var(&opts.copies.rate, "copies", 0, "fraction of the answered direct commands of which a copy arrives later")
	flag.DurationVar(&opts.copies.minDelay, "copy-min", 200*time.Millisecond, "least delay of a copy")
	flag.DurationVar(&opts.copies.maxDelay, "copy-max", 20*time.Second, "longest delay of a copy")
	flag.Uint64Var(&opts.copies.seed, "copy-seed", 1, "seed of the copies")
	flag.Parse()
	return opts
}

func main() {
	opts := readOptions()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if opts.copies.rate < 0 || opts.copies.rate > 1 || opts.copies.minDelay < 0 || opts.copies.maxDelay < opts.copies.minDelay {
		log.Fatal("-copies must be within 0 to 1, and -copy-min from 0 to -copy-max")
	}
	fleet, copier, err := newFleet(ctx, opts)
	if err != nil {
		log.Fatal(err)
	}
	onUpload := func([]byte) {}
	if opts.renderSeed != 0 {
		onUpload = standin.NewRenderFaults(opts.renderSeed).InjectInto(fleet)
	}
	if opts.mixedTypes {
		fleet.AddInitialMachines()
	}
	serve := func(addr string, h http.Handler) {
		go func() { log.Fatal(http.ListenAndServe(addr, h)) }()
	}
	if opts.stateAddr != "" {
		serve(opts.stateAddr, stateAPI(standin.NewState()))
	}
	if opts.cloudAddr != "" {
		serve(opts.cloudAddr, cloudAPI(fleet, onUpload, copier))
	}
	log.Printf("state service on %s, cloud on %s, workers report to %s", opts.stateAddr, opts.cloudAddr, opts.nodes)
	<-ctx.Done()
	for _, violation := range fleet.Violations {
		fmt.Println("rule broken:", violation)
	}
}

// newFleet returns the simulated cloud and its workers as the flags describe them, and what delivers
// copies of the workers' commands.
func newFleet(ctx context.Context, opts *options) (*standin.Fleet, *commandCopier, error) {
	fleet := standin.NewFleet(ctx)
	copier := newCommandCopier(fleet, opts.copies)
	addrByNode := map[string]string{}
	for _, pair := range strings.Split(opts.nodes, ",") {
		name, addr, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, nil, fmt.Errorf("-nodes: %q is not name=address", pair)
		}
		addrByNode[name] = addr
		fleet.Nodes = append(fleet.Nodes, name)
	}
	fleet.Types = []protocol.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 192, CacheGB: 100, FetchGBPerS: 0.5,
		Price: 10, SpotPrice: 4, BootS: opts.bootTime.Seconds(), Zones: []string{opts.zone}}}
	fleet.Workers = protocol.WorkerSettings{ReportS: opts.reportSeconds, LeaseS: opts.leaseSeconds, GangWaitS: 30, GangPeerS: 5, CancelS: 40}
	fleet.MaxMachines, fleet.BootTime, fleet.FetchTime = opts.maxMachines, opts.bootTime, opts.fetchTime
	if opts.mixedTypes {
		fleet.ConfigureMixedTypes(opts.bootTime)
	}
	if opts.eventsPath != "" {
		file, err := os.OpenFile(opts.eventsPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, err
		}
		fleet.OnTaskEvent = func(event, task, machine string, at time.Time) {
			line, _ := json.Marshal(map[string]any{"at": at.UnixNano(), "event": event, "task": task, "machine": machine})
			file.Write(append(line, '\n')) // a single write, so that lines are never torn
		}
	}
	fleet.SendReport = newHTTPReporter(addrByNode)
	if opts.workersPort > 0 {
		fleet.WorkerAddress = func(n int) string { return fmt.Sprintf("127.77.%d.%d:%d", n>>8&255, n&255, opts.workersPort) }
		fleet.StartListener = func(addr string) { go serveWorker(ctx, fleet, addr, copier) }
	}
	return fleet, copier, nil
}

// newHTTPReporter returns a function that sends workers' reports to the controllers over
// HTTP. A real worker fetches the description of a job that it does not know. Controllers
// do not serve descriptions, so here users upload them to the stand-in cloud.
func newHTTPReporter(addrByNode map[string]string) standin.ReportFunc {
	return func(ctx context.Context, node string, r protocol.Report) (int, protocol.Orders, string, error) {
		data, err := json.Marshal(r)
		if err != nil {
			return 0, protocol.Orders{}, "", err
		}
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addrByNode[node]+"/v1/report", bytes.NewReader(data))
		if err != nil {
			return 0, protocol.Orders{}, "", err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, protocol.Orders{}, "", err
		}
		defer resp.Body.Close()
		var response struct {
			protocol.Orders
			protocol.Redirect
		}
		err = json.NewDecoder(resp.Body).Decode(&response)
		return resp.StatusCode, response.Orders, response.ReportTo, err
	}
}

// serveWorker serves direct calls to one worker until ctx ends.
func serveWorker(ctx context.Context, f *standin.Fleet, addr string, copier *commandCopier) {
	r := httprouter.New()
	r.POST("/commands", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var orders protocol.Orders
		if json.NewDecoder(io.LimitReader(r.Body, protocol.MaxBodyBytes)).Decode(&orders) != nil {
			writeJSON(w, 400, struct{}{})
			return
		}
		report, ok, err := f.Command(r.Context(), addr, orders)
		switch {
		case err != nil:
			writeJSON(w, 503, struct{}{})
		case ok:
			copier.onAnswered(addr, orders)
			writeJSON(w, 200, report)
		default:
			writeJSON(w, 409, report)
		}
	})
	r.GET("/inspect", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		report, err := f.Inspect(r.Context(), addr)
		if err != nil {
			writeJSON(w, 503, struct{}{})
			return
		}
		writeJSON(w, 200, report)
	})
	srv := &http.Server{Addr: addr, Handler: r}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.ListenAndServe(); err != nil && ctx.Err() == nil {
		log.Print("worker ", err)
	}
}

// writeJSON answers a request with a JSON value.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// jsonObject is a JSON object.
type jsonObject = map[string]any

// stateHandlers serve the state service.
type stateHandlers struct{ state *standin.State }

// stateAPI serves the store as PROTOCOL specifies.
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
	items, revision, _ := h.state.List(r.Context(), r.URL.Query().Get("under"))
	if items == nil {
		items = []storage.Item{}
	}
	writeJSON(w, 200, jsonObject{"items": items, "hasNext": false, "epoch": revision})
}

func (h stateHandlers) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	item, _ := h.state.Get(r.Context(), strings.TrimPrefix(p.ByName("key"), "/"))
	if item.Value == nil {
		writeJSON(w, 404, jsonObject{"epoch": item.Revision})
		return
	}
	writeJSON(w, 200, item)
}

func (h stateHandlers) changes(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, 200, jsonObject{"changes": h.state.ChangeCount()})
}

func (h stateHandlers) transaction(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var txn struct {
		If     []storage.Cond
		Writes []storage.Write
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, protocol.MaxBodyBytes)).Decode(&txn); err != nil {
		writeJSON(w, 400, jsonObject{"error": err.Error()})
		return
	}
	ok, revision, failed, err := h.state.Txn(r.Context(), txn.If, txn.Writes)
	switch {
	case err != nil:
		writeJSON(w, 400, jsonObject{"error": err.Error()})
	case ok:
		writeJSON(w, 200, jsonObject{"epoch": revision})
	default:
		writeJSON(w, 409, jsonObject{"failed": failed, "epoch": revision})
	}
}

func (h stateHandlers) grant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct{ LifeMs int64 }
	json.NewDecoder(r.Body).Decode(&request)
	id, _ := h.state.Grant(r.Context(), time.Duration(request.LifeMs)*time.Millisecond)
	writeJSON(w, 200, jsonObject{"permit": id})
}

func (h stateHandlers) renew(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, _ := strconv.ParseUint(p.ByName("id"), 10, 64)
	if h.state.Renew(r.Context(), id) != nil {
		writeJSON(w, 404, jsonObject{})
		return
	}
	writeJSON(w, 200, jsonObject{})
}

func (h stateHandlers) release(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	id, _ := strconv.ParseUint(p.ByName("id"), 10, 64)
	h.state.Release(r.Context(), id)
	writeJSON(w, 200, jsonObject{})
}

func (h stateHandlers) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	holdMS, _ := strconv.Atoi(q.Get("holdMs"))
	items, revision, err := h.state.Watch(r.Context(), q.Get("under"), since, time.Duration(holdMS)*time.Millisecond)
	if err != nil {
		return
	}
	events := []jsonObject{}
	for _, item := range items {
		if item.Value == nil {
			events = append(events, jsonObject{"drop": item.Key, "stamp": item.Revision})
		} else {
			events = append(events, jsonObject{"put": item.Key, "v": item.Value, "stamp": item.Revision})
		}
	}
	writeJSON(w, 200, jsonObject{"epoch": revision, "events": events})
}

// cloudHandlers serve the cloud.
type cloudHandlers struct {
	fleet    *standin.Fleet
	onUpload func(submission []byte)
}

// cloudAPI serves the cloud, and accepts copies of submissions for the workers.
func cloudAPI(f *standin.Fleet, onUpload func([]byte), copier *commandCopier) http.Handler {
	h := cloudHandlers{f, onUpload}
	r := httprouter.New()
	r.GET("/catalog", h.catalog)
	r.GET("/hosts", h.list)
	r.POST("/hosts", h.rent)
	r.POST("/hosts/return", h.returnMachines)
	r.POST("/upload", h.upload)
	// Fault injection: the number of machines, jobs that fail on every machine, stalled jobs
	// and lost machines.
	r.POST("/limit/:machines", h.setMachineLimit)
	r.POST("/mistaken/:id/:is", h.setFailing)
	r.POST("/stall/:id/:is", h.setStalled)
	r.POST("/kill/:machine", h.killMachine)
	r.GET("/copies", copier.serveReport)
	return r
}

func (h cloudHandlers) catalog(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	types, _ := h.fleet.Catalog(r.Context())
	writeJSON(w, 200, protocol.Catalog{Types: types})
}

func (h cloudHandlers) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ms, _ := h.fleet.List(r.Context())
	writeJSON(w, 200, protocol.MachineList{Machines: ms})
}

func (h cloudHandlers) rent(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q protocol.RentRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeJSON(w, 400, nil)
		return
	}
	names, err := h.fleet.Rent(r.Context(), q)
	if err != nil {
		writeJSON(w, 503, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, 200, protocol.MachineNames{Machines: names})
}

func (h cloudHandlers) returnMachines(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q protocol.MachineNames
	json.NewDecoder(r.Body).Decode(&q)
	h.fleet.Return(r.Context(), q.Machines)
	writeJSON(w, 200, struct{}{})
}

func (h cloudHandlers) upload(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, _ := io.ReadAll(io.LimitReader(r.Body, protocol.MaxBodyBytes))
	s, err := protocol.ParseJob(data)
	if err != nil {
		writeJSON(w, 400, map[string]string{"error": err.Error()})
		return
	}
	h.onUpload(data)
	h.fleet.AddJob(s)
	writeJSON(w, 200, struct{}{})
}

func (h cloudHandlers) setMachineLimit(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if n, err := strconv.Atoi(p.ByName("machines")); err == nil {
		h.fleet.SetMaxMachines(n)
	}
	writeJSON(w, 200, struct{}{})
}

func (h cloudHandlers) setFailing(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	if p.ByName("is") == "true" {
		h.fleet.FailEverywhere(p.ByName("id"))
	} else {
		h.fleet.StopFailing(p.ByName("id"))
	}
	writeJSON(w, 200, struct{}{})
}

func (h cloudHandlers) setStalled(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	h.fleet.SetStalled(p.ByName("id"), p.ByName("is") == "true")
	writeJSON(w, 200, struct{}{})
}

func (h cloudHandlers) killMachine(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	h.fleet.Kill(p.ByName("machine"))
	writeJSON(w, 200, struct{}{})
}
