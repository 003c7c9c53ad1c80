package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// optionsRequests is how many requests the case options sends to each host.
const optionsRequests = 5

// runOptions sends requests for a target that no route has to each host. Without the trouble
// they are for a route.
func runOptions(r *run) error {
	if err := r.configure(1, map[string]bool{"docs": false}, []route{{"look", "/look/", "unsafe", "docs", 5}}); err != nil {
		return err
	}
	if err := r.startServers(3, "docs", false); err != nil {
		return err
	}
	if err := r.startHosts(2); err != nil {
		return err
	}
	target := "*"
	if !r.trouble {
		target = "/look/10-5"
	}
	unsigned := 0
	for _, h := range r.hosts {
		for i := range optionsRequests {
			id := fmt.Sprintf("%s-%d", h.name, i)
			status, signature, err := sendOptions(h, target, id)
			if err != nil {
				return err
			}
			r.record.add("OPTIONS %s, attempt %s, at %s: %d, receipt %q, run by %d servers", target, id, h.name, status, signature, r.runsOf(id))
			if status/100 == 2 && signature == "" {
				unsigned++
			}
		}
	}
	fmt.Printf("%d of %d requests got a success without the receipt of a server\n", unsigned, optionsRequests*len(r.hosts))
	if unsigned > 0 {
		return fmt.Errorf("%w: MIXED: %d successes without Server-Signature", errBroken, unsigned)
	}
	return nil
}

func sendOptions(h *host, target, id string) (status int, signature string, err error) {
	c, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(clientDeadline)); err != nil {
		return 0, "", err
	}
	if _, err := fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", target, clientHost, id, clientDeadline.Milliseconds()); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Server-Signature"), err
}
