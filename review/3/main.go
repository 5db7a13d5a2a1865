// Command 3 is the script of case 3: a configuration that cannot be read is acknowledged, and a proxy that restarts serves nothing.
package main

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"beechwing/review/harness"
)

func main() {
	harness.Main("review/3", play)
}

func serve(harness.Work) (notRun int, body []byte) { return 0, []byte("seat listing\n") }

func play(d *harness.Deployment, trouble bool) (broken bool, err error) {
	if err := d.Start(3, []string{"fees", "catalogue", "catalogue"}, serve, harness.ConfigText(1)); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // calm: contactMs have passed since the start
	browse := harness.Try{Proxy: d.Proxies[0], Method: http.MethodGet, Host: "hulo84.example", Path: "/browse/1", Deadline: 1200 * time.Millisecond}
	if a := d.Operate(browse, 4); a.Status != http.StatusOK {
		return false, errors.New("browsing did not work before the trouble")
	}
	if trouble {
		// The text ends with one brace too many, as after a slip in an editor or of two files put together: it is no JSON text.
		text := harness.ConfigText(2) + "}"
		status, err := submit(d, text)
		if err != nil {
			return false, err
		}
		if status >= 200 && status < 300 {
			broken = true
			d.Record.Log("CONFIG: something invalid receives acknowledgement")
		}
		time.Sleep(3 * time.Second) // editionMs and more
		status, body, _ := d.Operator(d.Controls[1], http.MethodGet, "/-/timetable", "")
		d.Record.Log("operator: GET /-/timetable -> %d, %d bytes that end in %q", status, len(body), body[max(0, len(body)-12):])
		d.Send(browse)
	}

	// What follows is no part of the check. It shows what the acknowledged text does to a proxy that is stopped and started in order.
	d.Record.Log("platform: SIGTERM to %s, then a start", d.Proxies[0].Name)
	d.Proxies[0].Terminate()
	if err := d.Proxies[0].Start(false); err != nil {
		return false, err
	}
	err = d.WaitReady(12 * time.Second)
	d.Record.Log("platform: 12 s after the start: %v", err)
	a := d.Send(browse)
	d.Record.Log("the restarted proxy answers %d %q", a.Status, a.Body)
	return broken, nil
}

// submit sends an invalid configuration as the operator does: unchanged, to one control server after the other, until there is a clear
// answer.
func submit(d *harness.Deployment, text string) (status int, err error) {
	for i := range 12 {
		m := d.Controls[i%len(d.Controls)]
		status, body, err := d.Operator(m, http.MethodPut, "/-/timetable", text)
		d.Record.Log("trouble: PUT of an invalid configuration r2, which ends in %q, at %s -> %d %s %v", text[len(text)-12:], m.Name, status,
			strings.TrimSpace(body), err)
		if status >= 200 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return 0, errors.New("no clear answer to the invalid configuration")
}
