package node

import (
	"encoding/json"
	"html/template"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// routeAdmin adds the operators' interface.
func (n *Node) routeAdmin(r *httprouter.Router) {
	r.GET("/admin/status", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		n.serve(w, r, func(reply chan<- answer) { reply <- answer{status: 200, body: n.status(time.Now())} })
	})
	r.GET("/admin", n.getPage)
	r.GET("/admin/settings", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		n.serve(w, r, func(reply chan<- answer) { reply <- answer{status: 200, body: n.settingsView()} })
	})
	r.PUT("/admin/settings/:name", n.putSetting)
	metrics := promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: 2})
	r.Handler("GET", "/metrics", metrics)
}

// SettingsView shows the operators' settings with the revision that a change
// must name.
type SettingsView struct {
	Stamp    uint64            `json:"stamp"`
	Settings Policy            `json:"settings"`
	Bounds   map[string]string `json:"bounds"`
}

func (n *Node) settingsView() SettingsView {
	v := SettingsView{Stamp: n.revisionOf(protocol.PolicyKey), Settings: n.policy, Bounds: map[string]string{}}
	for _, s := range settingsList {
		v.Bounds[s.name] = s.bounds
	}
	return v
}

// SettingChange asks for a change of one setting, decided on the given stamp.
type SettingChange struct {
	Value json.RawMessage `json:"value"`
	Stamp *uint64         `json:"stamp"`
}

func (n *Node) putSetting(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := readBody(r)
	var c SettingChange
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil || c.Stamp == nil {
		writeAnswer(w, answer{status: 400, body: errorBody{`need {"value":...,"stamp":N} with the stamp that /admin/settings shows`}})
		return
	}
	name, from := p.ByName("name"), r.RemoteAddr
	n.serve(w, r, func(reply chan<- answer) { n.onSetting(name, c, from, reply) })
}

// onSetting stores a change; every node sees it by the watch.
func (n *Node) onSetting(name string, c SettingChange, from string, reply chan<- answer) {
	if !n.loaded {
		reply <- busyAnswer
		return
	}
	changed, known, err := n.policy.Set(name, c.Value)
	switch {
	case !known:
		reply <- answer{status: 404, body: errorBody{"no such setting"}}
		return
	case err != nil:
		reply <- answer{status: 400, body: errorBody{err.Error()}}
		return
	case *c.Stamp != n.revisionOf(protocol.PolicyKey):
		reply <- answer{status: 409, body: errorBody{"changed meanwhile: read the settings again"}}
		return
	}
	op := &storage.Op{NoRetry: true, Conds: []storage.Cond{{Key: protocol.PolicyKey, Revision: *c.Stamp}},
		Writes: []storage.Write{{Put: protocol.PolicyKey, Value: mustJSON(changed)}}}
	op.Done = func(r storage.Result) {
		n.post(func() {
			switch {
			case r.OK:
				n.applyOwnWrite(op.Writes[0], r.Revision)
				n.log.Info("setting changed", "setting", name, "value", string(c.Value), "by", from)
				reply <- answer{status: 200, body: n.settingsView()}
			case r.Err != nil:
				reply <- busyAnswer
			default:
				reply <- answer{status: 409, body: errorBody{"changed meanwhile: read the settings again"}}
			}
		})
	}
	if !n.userCommitter.Submit(op) {
		reply <- busyAnswer
	}
}

var page = template.Must(template.New("status").Parse(`<!doctype html><html><head><meta charset="utf-8"><title>dapplestage {{.Node}}</title>
<meta name="viewport" content="width=device-width"><style>body{font:14px sans-serif;margin:1em}table{border-collapse:collapse;margin:.5em 0 1.5em}
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left}th{background:#eee}.bad{background:#fdd;padding:.4em}</style></head><body>
<h1>dapplestage: {{.Node}}</h1>
{{if gt .StateAgeS 3.0}}<p class="bad">The state service last answered {{.StateAgeS}} s ago: what follows is that old.</p>{{end}}
{{if not .Loaded}}<p class="bad">Nothing has been read yet.</p>{{end}}
<p>{{.Jobs}} unfinished jobs. As JSON: <a href="/admin/status">/admin/status</a></p>
<h2>Stuck</h2>{{if .Stuck}}<table><tr><th>team<th>job<th>class<th>waiting<th>starting<th>since<th>why</tr>
{{range .Stuck}}<tr><td>{{.Team}}<td>{{.Job}}<td>{{.Class}}<td>{{.Waiting}}<td>{{.Starting}}<td>{{.SinceS}} s<td>{{.Why}}</tr>{{end}}</table>
{{if .StuckMore}}<p>and {{.StuckMore}} more</p>{{end}}{{else}}<p>Nothing.</p>{{end}}
<h2>Shares</h2><table><tr><th>share<th>holder<th>machines<th>empty<th>free GPUs<th>free CPUs<th>silent<th>phase<th>unheard</tr>
{{range .Shares}}<tr><td>{{.Share}}<td>{{or .Holder "nobody"}}<td>{{.Machines}}<td>{{.Empty}}<td>{{.FreeGPUs}}<td>{{.FreeCPUs}}<td>{{.Silent}}<td>{{.Phase}}<td>{{.Unheard}}</tr>{{end}}</table>
<h2>Teams</h2><table><tr><th>team<th>share<th>jobs<th>waiting tasks<th>placed tasks<th>GPUs<th>most</tr>
{{range .Teams}}<tr><td>{{.Team}}<td>{{.Share}}<td>{{.Jobs}}<td>{{.Waiting}}<td>{{.Running}}<td>{{.GPUs}}<td>{{.MaxGPUs}}</tr>{{end}}</table>
<h2>Ended here</h2><table><tr><th>team<th>job<th>class<th>became<th>took<th>ago</tr>
{{range .Ended}}<tr><td>{{.Team}}<td>{{.Job}}<td>{{.Class}}<td>{{.Status}}<td>{{.TookS}} s<td>{{.AgoS}} s</tr>{{end}}</table>
</body></html>`))

func (n *Node) getPage(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	reply := make(chan Status, 1)
	n.post(func() { reply <- n.status(time.Now()) })
	select {
	case s := <-reply:
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		page.Execute(w, s)
	case <-r.Context().Done():
	}
}
