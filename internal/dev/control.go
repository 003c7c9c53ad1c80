package dev

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// slowStore is the delay of each store call after POST /store/slow.
const slowStore = 500 * time.Millisecond

// control returns the handler of the control address.
func (d *Deployment) control() http.Handler {
	router := httprouter.New()
	router.POST("/servers/:name/:action", d.controlServer)
	router.POST("/store/:action", d.controlStore)
	router.POST("/hosts/:index/:action", d.controlHost)
	router.GET("/owners", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, d.owned()) })
	router.GET("/executions", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, d.executions()) })
	return router
}

func (d *Deployment) executions() []standin.Execution {
	out := []standin.Execution{}
	for _, service := range d.services {
		for _, server := range service.Servers {
			out = append(out, d.servers[server.Name].Executions()...)
		}
	}
	return out
}

func (d *Deployment) controlServer(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	server, ok := d.servers[topology.ServerName(p.ByName("name"))]
	if !ok {
		apierror.Write(w, "", apierror.New(apierror.KindNotFound, "no server %q", p.ByName("name")))
		return
	}
	answerAction(w, server.RunAction(p.ByName("action")))
}

func (d *Deployment) controlStore(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	switch action := p.ByName("action"); action {
	case "down":
		d.store.StartOutage()
	case "up":
		d.store.EndOutage()
		d.store.SetResponseDelay(0)
		d.store.DropResponses(0)
	case "slow":
		d.store.SetResponseDelay(slowStore)
	case "lose-answers":
		d.store.DropResponses(-1)
	default:
		answerAction(w, apierror.New(apierror.KindBadRequest, "unknown action %q", action))
		return
	}
	answerAction(w, nil)
}

func (d *Deployment) controlHost(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	i, err := strconv.Atoi(p.ByName("index"))
	if err != nil || i < 0 || i >= len(d.hosts) {
		apierror.Write(w, "", apierror.New(apierror.KindNotFound, "no host %q, expected 0 to %d", p.ByName("index"), len(d.hosts)-1))
		return
	}
	// The host outlives the request that restarts it.
	answerAction(w, d.hosts[i].control(context.WithoutCancel(r.Context()), p.ByName("action")))
}

func answerAction(w http.ResponseWriter, err error) {
	if err != nil {
		apierror.Write(w, "", apierror.Wrap(apierror.KindBadRequest, err, "the action was not taken"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader may be gone; nobody else waits for the answer.
	_ = json.NewEncoder(w).Encode(value)
}
