// Command standin holds the stand-ins of the review's cases: users, workers, the cloud and the state service as
// ../given/docs/PROTOCOL-caperlatch.md describes them, on loopback and the real clock. It starts the controllers with
// the command of deploy/service.toml, plays one case, and exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	if _, err := os.Stat("target/caperlatch"); err != nil {
		fmt.Println("the service is not built:", err)
		os.Exit(2)
	}
	c := newCluster(os.Args[2])
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		c.fail("it was ended from outside")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	c.rec.logf("case %s, trouble: %t", os.Args[1], trouble)
	verdict := cases[os.Args[1]](c, trouble)
	c.rec.with(func() { verdict = append(verdict, c.rec.broken...) })
	for _, v := range verdict {
		c.rec.logf("VERDICT broken: %s", v)
		fmt.Println("broken:", v)
	}
	if len(verdict) == 0 {
		c.rec.logf("VERDICT held")
		fmt.Println("held")
	}
	c.close()
	if len(verdict) > 0 {
		os.Exit(1)
	}
}

func since(t time.Time) string { return fmt.Sprintf("%.1f s", time.Since(t).Seconds()) }
