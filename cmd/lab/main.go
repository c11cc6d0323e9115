// Command lab runs repeatable proofs and measurements. It starts real processes of this repository
// on loopback ports, injects faults drawn from a seed, and compares the answers to users with what
// machines ran and what the stores contain. It ends every process that it started. The last line of
// its output is one JSON object. The exit status is 1 if a proof found a violation or a run failed,
// and 2 for an invalid argument or any other error.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// errUsage marks invalid arguments. errBroken marks a proof that found a violation or in which a run
// failed.
var (
	errUsage  = errors.New("usage")
	errBroken = errors.New("broken")
)

func main() {
	root := &cobra.Command{Use: "lab", Short: "Proofs and measurements with real processes on loopback", SilenceErrors: true, SilenceUsage: true}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %v", errUsage, err) })
	root.AddCommand(gatewayProofCommand(), gatewayLoadCommand(), gatewayGrowthCommand(), ticketsProofCommand(), ticketsLoadCommand(), whyProofCommand(), reportProofCommand(), startProofCommand(), copiesProofCommand(), standbyProofCommand())
	err := root.Execute()
	if err != nil && !errors.Is(err, errBroken) {
		fmt.Fprintln(os.Stderr, err)
	}
	switch {
	case err == nil:
	case errors.Is(err, errBroken):
		os.Exit(1)
	default:
		os.Exit(2)
	}
}

// printFigures prints the last line of the output, one JSON object.
func printFigures(out io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}

// checkRange returns an error if an argument is out of its bounds.
func checkRange(name string, value, minimum, maximum int) error {
	if value < minimum || value > maximum {
		return fmt.Errorf("%w: --%s %d is not within %d to %d", errUsage, name, value, minimum, maximum)
	}
	return nil
}
