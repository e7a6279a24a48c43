package loader

import (
	"net/netip"
	"net/url"
	"reflect"
)

// Settings are the settings of one hornbeamd process.
type Settings struct {
	// Name is unique in the deployment and stays with the instance's address.
	Name string `yaml:"name"`
	// Domain is the failure domain of the instance.
	Domain string `yaml:"domain"`
	// Region is the region of Domain. It is needed before the first
	// configuration is loaded.
	Region string `yaml:"region"`
	// Listen addresses, all "ip:port": Front serves callers, Data requests that
	// other instances forward, Peer control calls of other instances, Admin
	// operators.
	Front string `yaml:"front"`
	Data  string `yaml:"data"`
	Peer  string `yaml:"peer"`
	Admin string `yaml:"admin"`
	// Platform is the base URL of the platform's API.
	Platform string `yaml:"platform"`
	// Seeds are Peer addresses of other instances.
	Seeds []string `yaml:"seeds"`
}

// ParseSettings decodes the settings of one process from YAML; name is the file
// name in errors. All problems are returned at once as Problems.
func ParseSettings(name string, data []byte) (s Settings, err error) {
	d := newDocument(name, data)
	if d.root != nil {
		d.decode(d.root, "", reflect.ValueOf(&s).Elem())
		d.addLocated(s.Check())
	}
	return s, d.err()
}

// Check returns all problems of the settings.
func (s Settings) Check() (p Problems) {
	report := p.reporterFor("")
	s.checkNames(report)
	addresses := []struct{ key, text string }{
		{"front", s.Front}, {"data", s.Data}, {"peer", s.Peer}, {"admin", s.Admin},
	}
	owners := map[string]string{}
	for _, a := range addresses {
		checkAddress(report, a.key, a.text)
		if owner, ok := owners[a.text]; ok && a.text != "" {
			report(a.key, "must differ from %s", owner)
			continue
		}
		owners[a.text] = a.key
	}
	seeds := map[string]bool{}
	for i, seed := range s.Seeds {
		checkAddress(report, indexPath("seeds", i), seed)
		if seeds[seed] {
			report(indexPath("seeds", i), "%s is listed twice", seed)
		}
		seeds[seed] = true
	}
	if seeds[s.Peer] && s.Peer != "" {
		report("seeds", "must not list the instance's own peer address")
	}
	return p
}

func (s Settings) checkNames(report reportFunc) {
	names := []struct{ key, text string }{
		{"name", s.Name}, {"domain", s.Domain}, {"region", s.Region},
	}
	for _, n := range names {
		switch {
		case n.text == "":
			report(n.key, "is missing")
		case !validName(n.text):
			report(n.key, "%q must consist of lower-case letters, digits and inner hyphens", n.text)
		}
	}
	if s.Platform == "" {
		report("platform", "is missing")
		return
	}
	u, err := url.Parse(s.Platform)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
		report("platform", "%q is not a URL such as http://127.0.0.1:7500", s.Platform)
		return
	}
	if a, err := netip.ParseAddrPort(u.Host); err != nil || a.Port() == 0 {
		report("platform", "%q has no ip:port", s.Platform)
	}
}
