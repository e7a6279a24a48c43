package runner

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/reporter"
	"hornbeamstream.example/core/steerer"
)

// TestExplain asks a running instance, over its admin address, where requests would go.
func TestExplain(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	startColdUpstream(t, m, "u1")
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:    3,
		Services:   []steerer.Service{{Name: "s", Conns: 200}},
		Workspaces: []steerer.Workspace{{Name: "choir", Keys: []string{"secret-key"}, Rate: 50, Burst: 50}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 2 * time.Second, Aim: 100 * time.Millisecond, Attempts: 2, Sticky: true,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	admin := ""
	startInstance(t, m, 60, func(c *Config) {
		admin = c.Self.Front[:len(c.Self.Front)-len(":8381")] + ":9464"
		c.AdminAddress = admin
	})
	ask := func(query string) (x reporter.Explanation) {
		res, err := http.Get("http://" + admin + "/explain?" + query)
		if err != nil {
			return x
		}
		defer func() { _ = res.Body.Close() }()
		is.NoErr(json.NewDecoder(res.Body).Decode(&x))
		return x
	}
	var x reporter.Explanation
	for until := time.Now().Add(20 * time.Second); x.Upstream == "" && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		x = ask("host=H&path=/p/x&key=17&workspace=choir")
	}
	is.Equal(x.Upstream, "u1")
	is.Equal(x.Version, uint64(3))
	is.Equal(x.Workspace.Name, "choir")
	is.Equal(x.Workspace.Admitted, uint64(0))
	is.Equal(x.Candidates[0].Verdict, "chosen")
	is.Equal(ask("host=h&path=/p/x").Status, 401)
	is.Equal(ask("host=h&path=/p/x&workspace=secret-key").Status, 401)
	is.Equal(ask("host=h&path=/q/x").Status, 404)
}
