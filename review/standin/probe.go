package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["reused-address"] = reusedAddress }

const (
	// reuseTime is addrReuseS.
	reuseTime = 2 * time.Second
	// outageTime is for how long the store is down.
	outageTime = 8 * time.Second
)

// reusedAddress ends a server while the store is down and gives its address to a server of
// another service.
func reusedAddress(g *ground) (int, error) {
	routes := [][]any{
		{"r-1", "jepu9.example", "/lepu270/", "safe", 1200, 250, 2, "huvo11a", 2, true, []string{}, nil},
		{"r-2", "hulo84.example", "/xapu221/", "unsafe", 1500, 300, 1, "wuno96b", 2, true, []string{}, nil},
	}
	services := [][]any{
		{"huvo11a", "/health/lookup", 330, "h1", false, 3.0, 15.0},
		{"wuno96b", "/health/posting", 330, "h1", false, 3.0, 15.0},
	}
	if err := g.startStore(config(usualLimits(), routes, services)); err != nil {
		return failed, err
	}
	for i := range 6 {
		for _, service := range services {
			u := &server{id: fmt.Sprintf("i-%v-%d", service[0], i), service: service[0].(string), zone: "sofia-a", healthPath: service[1].(string), work: 50 * time.Millisecond, slots: 6, record: g.record}
			if err := u.start(g.store); err != nil {
				return failed, err
			}
			g.servers = append(g.servers, u)
		}
	}
	if err := g.startNode(limits{memoryMb: 284, maxFds: 4100}); err != nil {
		return failed, err
	}
	w := &crowd{ground: g}
	stop := make(chan struct{})
	for range 4 {
		go w.keepAsking(stop)
	}
	time.Sleep(4 * time.Second)
	var next *server
	if g.trouble {
		old := g.servers[0]
		g.record.line("store", "down", true)
		g.store.setDown(true)
		time.Sleep(time.Second)
		g.record.line("crash", "server", old.id, "address", old.address)
		old.crash()
		time.Sleep(reuseTime + 500*time.Millisecond)
		// It can't register before the store is back.
		next = &server{id: "i-wuno96b-6", service: "wuno96b", address: old.address, zone: "sofia-a", healthPath: "/health/posting", work: 50 * time.Millisecond, slots: 6, record: g.record}
		if err := next.listen(); err != nil {
			return failed, err
		}
		g.servers = append(g.servers, next)
		g.record.line("start", "server", next.id, "service", next.service, "address", next.address)
		time.Sleep(outageTime - time.Second - reuseTime - 500*time.Millisecond)
		g.store.setDown(false)
		g.store.remove("servers", old.id)
		next.register(g.store)
		g.record.line("store", "down", false)
	} else {
		time.Sleep(outageTime)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	time.Sleep(budget)
	w.state("end")
	unasked := 0
	for _, u := range g.servers {
		for _, id := range u.ids() {
			if !w.sent(id) {
				unasked++
				if unasked <= 20 {
					g.record.line("unasked", "server", u.id, "service", u.service, "id", strings.TrimSpace(id))
				}
			}
		}
	}
	g.record.line("check", "rule", "UNASKED", "runsThatNoClientSent", unasked, "allowed", 0)
	if unasked > 0 {
		return broken, nil
	}
	return held, nil
}
