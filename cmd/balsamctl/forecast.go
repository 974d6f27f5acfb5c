package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/balsamstair/balsamstair/internal/declared"
)

var forecastCommand = &command{
	name:     "forecast",
	synopsis: "print the lowest and highest monthly bill",
	usage:    "[-json] FILE",
	description: `Forecast prints the lowest and highest bill of a 30-day month in which FILE
is in force: in total, and by organisation, tier and endpoint class. The last
column shows whether declared spend or the endpoints' capacity limits the
highest bill. docs/FILE.md explains the calculation. In JSON, amounts are in
millionths of the currency, and null means unbounded.`,
}

func init() {
	forecastCommand.run = runForecast
	register(forecastCommand)
}

func runForecast(args []string, io ioStreams) int {
	flags := forecastCommand.newFlagSet(io)
	asJSON := flags.Bool("json", false, "print JSON")
	if code, ok := forecastCommand.parse(flags, args, io); !ok {
		return code
	}
	if flags.NArg() != 1 {
		return forecastCommand.usageError(flags, io, "one file is needed")
	}
	f, err := readDeclared(flags.Arg(0))
	if err != nil {
		return reportError(io, flags.Arg(0), err)
	}
	fc := declared.NewForecast(f)
	if *asJSON {
		return writeJSON(io, fc)
	}
	printForecast(io.out, fc)
	return exitOK
}

func printForecast(w io.Writer, fc declared.Forecast) {
	fmt.Fprintf(w, "Bill of a 30-day month under revision %d, in %s\n\n", fc.Revision, fc.Currency)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "\tlowest\thighest\tlimited by\t\n")
	printBill(table, fc.Total)
	for _, section := range []struct {
		title string
		bills []declared.Bill
	}{
		{"by organisation", fc.Organisations},
		{"by tier", fc.Tiers},
		{"by endpoint class", fc.Classes},
	} {
		fmt.Fprintf(table, "%s\t\t\t\t\n", section.title)
		for _, b := range section.bills {
			printBill(table, b)
		}
	}
	table.Flush()
}

func printBill(w io.Writer, b declared.Bill) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", b.Name, b.Lowest, b.Highest, b.Limit)
}
