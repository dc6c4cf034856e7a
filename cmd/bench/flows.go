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
	keepaliveWindow = 6 * time.Second  // CPU of idle flows is measured over this time, two keepalives of a caller.
	maxDials        = 16               // Flows that are opened at the same time.
	flowTimeout     = 30 * time.Second // Longest time for a new flow and its first request.
)

// measureFlows measures the CPU and the memory of one agent, and the CPU of a
// balancer, while the number of open flows and then of open streams grows.
func measureFlows(rep *report) error {
	const xLabel = "flows"
	memory := rep.addSeries("Resident memory of an agent by open flows", xLabel, "MB")
	setupCPU := rep.addSeries("CPU of an agent for a new flow and one order", xLabel, "ms")
	idleCPU := rep.addSeries("CPU of an agent for open flows with a keepalive every 3 s", xLabel, "% of a core")
	streamMemory := rep.addSeries("Resident memory of an agent by open streams", "streams", "MB")
	balancerCPU := rep.addSeries("CPU of a balancer for open flows with a keepalive every 3 s", xLabel, "% of a core")
	flt, err := startFleet(1, 0)
	if err != nil {
		return err
	}
	defer flt.stop()
	hst := flt.scn.Agents()[0]
	lsn, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", hst.Upstream))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: stand.NewUpstream(hst.Service, 4, 0, 0)}
	go func() { _ = srv.Serve(lsn) }()
	defer srv.Close()
	var clients []*caller.Client
	for _, count := range []int{0, 200, 400, 800, 1600} {
		setupBefore, openBefore := flt.cpuSeconds(hst.Name), len(clients)
		if clients, err = flt.openFlows(clients, count); err != nil {
			return err
		}
		if added := count - openBefore; added > 0 {
			setupCPU.addPoint(float64(count), 1e3*(flt.cpuSeconds(hst.Name)-setupBefore)/float64(added))
		}
		time.Sleep(time.Second)
		memory.addPoint(float64(count), flt.residentBytes(hst.Name)/1e6)
		agentBefore, balancerBefore := flt.cpuSeconds(hst.Name), flt.cpuSeconds(flt.scn.Balancers()[0].Name)
		time.Sleep(keepaliveWindow)
		idleCPU.addPoint(float64(count), 100*(flt.cpuSeconds(hst.Name)-agentBefore)/keepaliveWindow.Seconds())
		balancerCPU.addPoint(float64(count), 100*(flt.cpuSeconds(flt.scn.Balancers()[0].Name)-balancerBefore)/keepaliveWindow.Seconds())
	}
	return flt.openStreams(clients, hst.Name, streamMemory)
}

// openFlows opens flows until there are count, and sends one order on each new
// flow. It returns all clients, one per flow, and the first error.
func (flt *fleet) openFlows(clients []*caller.Client, count int) ([]*caller.Client, error) {
	idn, err := flt.scn.Identity("till-gold")
	if err != nil {
		return nil, err
	}
	fabric := stand.NewFabric(flt.scn.EntryPorts()...)
	var wg sync.WaitGroup
	var firstErr error
	var once sync.Once
	sem := make(chan struct{}, maxDials)
	for len(clients) < count {
		cln := caller.New(caller.Config{Address: stand.GoldFeed, Port: 443, TLS: idn.Caller(), Dialer: fabric})
		clients = append(clients, cln)
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			ctx, cancel := context.WithTimeout(context.Background(), flowTimeout)
			defer cancel()
			if _, err := cln.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/order"}); err != nil {
				once.Do(func() { firstErr = err })
			}
		})
	}
	wg.Wait()
	return clients, firstErr
}

// openStreams opens streams on the flows of the clients, one per flow, and adds
// the resident memory of the agent to the series.
func (flt *fleet) openStreams(clients []*caller.Client, agent string, ser *series) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opened := 0
	for _, count := range []int{0, 100, 200, 400} {
		for ; opened < count; opened++ {
			str, err := clients[opened].Stream(ctx, stand.LivePath, func(line string) string { return line })
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
		ser.addPoint(float64(count), flt.residentBytes(agent)/1e6)
	}
	return nil
}
