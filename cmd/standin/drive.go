package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lagoondrum/io/caller"
	"lagoondrum/io/stand"
)

type driveCommand struct {
	command *kingpin.CmdClause
}

func newDriveCommand(app *kingpin.Application) *driveCommand {
	return &driveCommand{command: app.Command("drive", "Drive streams and work through the scene and sum up.")}
}

func (drv *driveCommand) run(ctx context.Context, scn *stand.Scene) error {
	idn, err := scn.Identity("till-gold")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	cln := caller.New(caller.Config{
		Address: stand.GoldFeed, Port: 443, TLS: idn.Caller(),
		Dialer: stand.NewFabric(scn.EntryPorts()...),
	})
	defer cln.Close()
	ans, err := cln.Do(ctx, caller.Request{
		Method: http.MethodPost, Path: "/renew", Body: []byte("bench 7"),
		Header: http.Header{stand.OrderField: {"order-1"}, stand.ServiceField: {stand.FeedService}},
	})
	if err != nil {
		return err
	}
	fmt.Printf("renewal: %d %s", ans.Status, ans.Body)
	str, err := cln.Stream(ctx, stand.LivePath, func(line string) string { return line })
	if err != nil {
		return err
	}
	defer str.Close()
	for range 10 {
		line, err := str.Next()
		if err != nil {
			return err
		}
		fmt.Println("line", line)
	}
	return nil
}
