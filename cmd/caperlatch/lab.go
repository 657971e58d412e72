package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/sim/lab"
)

// labOptions are what a user of the lab chooses.
type labOptions struct {
	lab.Options
	files   featureFiles
	seconds float64
	faults  string // file
	report  string // file
}

// Bounds and defaults of the lab.
const (
	labNodes    = 3
	labMachines = 40
	labSeconds  = 25.0
	labPort     = 8080
	mostNodes   = 5
	mostSeconds = 24 * 3600
)

// labCommand runs a whole cluster on this machine.
func labCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Run a cluster on this machine, with stand-ins of state service, cloud and workers",
	}
	cmd.AddCommand(labRunCommand(), labUpCommand())
	return cmd
}

// labRunCommand plays a sample of jobs.
func labRunCommand() *cobra.Command {
	var o labOptions
	cmd := o.command("run", "Have a cluster do a sample of jobs while its leader is killed, and tell how it went", o.run)
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the jobs")
	cmd.Flags().Float64Var(&o.seconds, "seconds", labSeconds, "for how long jobs come")
	cmd.Flags().StringVar(&o.faults, "faults", "", "file of troubles (TOML) in place of the leader's end, as in deploy/faults.example.toml")
	cmd.Flags().StringVar(&o.report, "report", "", "file to write a report to (HTML)")
	return cmd
}

// labUpCommand runs a cluster until it is interrupted.
func labUpCommand() *cobra.Command {
	o := labOptions{seconds: labSeconds}
	cmd := o.command("up", "Run a cluster until Ctrl-C, and say how to use it",
		func(ctx context.Context, l *lab.Lab, _ io.Writer) error { return l.Up(ctx) })
	cmd.Flags().IntVar(&o.Port, "port", labPort, "port of the first node, the next ones of the others; those that are taken are replaced")
	return cmd
}

// command is a command that checks the options, prepares a lab and uses it.
func (o *labOptions) command(name, short string, use func(context.Context, *lab.Lab, io.Writer) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			return o.withLab(cmd, use)
		},
	}
	o.addFlags(cmd)
	return cmd
}

// addFlags lets the user choose what all of the lab has.
func (o *labOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().IntVar(&o.Nodes, "nodes", labNodes, "controllers, 3 or 5")
	cmd.Flags().IntVar(&o.Machines, "machines", labMachines, "machines that the cloud has")
	o.files.addFlags(cmd)
}

// check reads and checks all that was chosen, before anything starts.
func (o *labOptions) check() error {
	switch {
	case o.Nodes != labNodes && o.Nodes != mostNodes:
		return usage(fmt.Errorf("--nodes must be %d or %d", labNodes, mostNodes))
	case o.Machines < 1:
		return usage(fmt.Errorf("--machines must be at least 1"))
	case !(o.seconds > 0 && o.seconds <= mostSeconds):
		return usage(fmt.Errorf("--seconds must be over 0 and at most %d", mostSeconds))
	case o.Port < 0 || o.Port+o.Nodes > 1<<16:
		return usage(fmt.Errorf("--port must be from 0 to %d", 1<<16-o.Nodes))
	}
	o.SubmitFor = time.Duration(o.seconds * float64(time.Second))
	o.Faults = lab.DefaultFaults()
	s, err := lab.Settings()
	if err != nil {
		return err
	}
	if _, err := o.files.read(s); err != nil {
		return usage(err)
	}
	o.Args = o.files.args()
	if o.faults == "" {
		return nil
	}
	content, err := os.ReadFile(o.faults)
	if err != nil {
		return usage(err)
	}
	if o.Faults, err = lab.ParseFaults(o.faults, content, o.Nodes, s.Params.Zones); err != nil {
		return usage(err)
	}
	return nil
}

// withLab prepares a lab in a folder of its own and uses it until it is interrupted.
func (o *labOptions) withLab(cmd *cobra.Command, use func(context.Context, *lab.Lab, io.Writer) error) (err error) {
	if o.Program, err = os.Executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "caperlatch-lab-"); err != nil {
		return err
	}
	l, err := lab.New(o.Options, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := use(ctx, l, cmd.OutOrStdout()); err != nil {
		return fmt.Errorf("%w (settings and logs are in %s)", err, o.Dir)
	}
	return os.RemoveAll(o.Dir)
}

// run plays the sample and tells how it went.
func (o *labOptions) run(ctx context.Context, l *lab.Lab, out io.Writer) error {
	summary, err := l.Run(ctx)
	if err != nil {
		return err
	}
	summary.Print(out)
	if o.report != "" {
		if err := writeReport(o.report, summary); err != nil {
			return err
		}
	}
	return summary.Err()
}

// writeReport writes the report of a run to a file.
func writeReport(path string, summary *lab.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := summary.WriteHTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
