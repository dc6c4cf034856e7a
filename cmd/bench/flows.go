package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"lagoondrum/io/caller"
	"lagoondrum/io/stand"
)

const (
	flowIdle  = 6 * time.Second
	dialers   = 16
	flowLimit = 30 * time.Second
)

// measureFlows opens flows at one agent step by step.
func measureFlows(rep *report) error {
	const x = "flows"
	memory := rep.slope("Resident memory of an agent by open flows", x, "MB")
	handshake := rep.slope("CPU of an agent for a new flow and one order", x, "ms")
	idle := rep.slope("CPU of an agent for open flows with a keepalive every 3 s", x, "% of a core")
	streams := rep.slope("Resident memory of an agent by open streams", "streams", "MB")
	balancer := rep.slope("CPU of a balancer for open flows with a keepalive every 3 s", x, "% of a core")
	flt, err := startFleet(1, 0)
	if err != nil {
		return err
	}
	defer flt.end()
	hst := flt.scn.Agents()[0]
	lsn, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", hst.Upstream))
	if err != nil {
		return err
	}
	ups := &http.Server{Handler: stand.NewUpstream(hst.Service, 4, 0, 0)}
	go func() { _ = ups.Serve(lsn) }()
	defer ups.Close()
	var clients []*caller.Client
	for _, count := range []int{0, 200, 400, 800, 1600} {
		before, begun := flt.cpuOf(hst.Name), len(clients)
		if clients, err = flt.grow(clients, count); err != nil {
			return err
		}
		if added := count - begun; added > 0 {
			handshake.add(float64(count), 1e3*(flt.cpuOf(hst.Name)-before)/float64(added))
		}
		time.Sleep(time.Second)
		memory.add(float64(count), flt.memoryOf(hst.Name)/1e6)
		cpu, balancerCPU := flt.cpuOf(hst.Name), flt.cpuOf(flt.scn.Balancers()[0].Name)
		time.Sleep(flowIdle)
		idle.add(float64(count), 100*(flt.cpuOf(hst.Name)-cpu)/flowIdle.Seconds())
		balancer.add(float64(count), 100*(flt.cpuOf(flt.scn.Balancers()[0].Name)-balancerCPU)/flowIdle.Seconds())
	}
	return flt.openStreams(clients, hst.Name, streams)
}

// grow opens flows until there are count.
func (flt *fleet) grow(clients []*caller.Client, count int) ([]*caller.Client, error) {
	idn, err := flt.scn.Identity("till-gold")
	if err != nil {
		return nil, err
	}
	fabric := stand.NewFabric(flt.scn.EntryPorts()...)
	var wait sync.WaitGroup
	var failure error
	var once sync.Once
	gate := make(chan struct{}, dialers)
	for len(clients) < count {
		cln := caller.New(caller.Config{Address: stand.GoldFeed, Port: 443, TLS: idn.Caller(), Dialer: fabric})
		clients = append(clients, cln)
		gate <- struct{}{}
		wait.Go(func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(context.Background(), flowLimit)
			defer cancel()
			if _, err := cln.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/order"}); err != nil {
				once.Do(func() { failure = err })
			}
		})
	}
	wait.Wait()
	return clients, failure
}

func (flt *fleet) openStreams(clients []*caller.Client, name string, ser *series) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	open := 0
	for _, count := range []int{0, 100, 200, 400} {
		for ; open < count; open++ {
			str, err := clients[open].Stream(ctx, stand.LivePath, func(line string) string { return line })
			if err != nil {
				return err
			}
			go func() {
				for err := error(nil); err == nil; {
					_, err = str.Next()
				}
			}()
		}
		time.Sleep(time.Second)
		ser.add(float64(count), flt.memoryOf(name)/1e6)
	}
	return nil
}
