package folder_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"lovageshift"
	"lovageshift/folder"
)

const accountsPerFile = 1000

// largeSet returns files with the given numbers of targets and of client accounts, each account with one key. The
// benchmarks use 600 targets, the number expected in two years.
func largeSet(accounts, targets int) []folder.File {
	files := []folder.File{folder.NewFile("10-base.toml", []byte(baseConfig(targets)))}
	var text strings.Builder
	for i := range accounts {
		hash, _ := lovageshift.HashSecret(fmt.Sprintf("ls_%064x", i))
		fmt.Fprintf(&text, "[accounts.c%05d]\ntier=\"urgent\"\nrate=%d\nburst=%d\n[keys.k%05d]\naccount=\"c%05d\"\nhash=%q\n",
			i, 100+i%900, 20000, i, i, hash.String())
		if i%accountsPerFile == accountsPerFile-1 || i == accounts-1 {
			files = append(files, folder.NewFile(fmt.Sprintf("50-%05d.toml", i), []byte(text.String())))
			text.Reset()
		}
	}
	return files
}

// baseConfig returns a file with one tier, one model and the targets.
func baseConfig(targets int) string {
	var text strings.Builder
	text.WriteString("[tiers.urgent]\nrank=1\n[models.drafts]\n")
	for i := range targets {
		fmt.Fprintf(&text, "[zones.z%d]\n[targets.t%03d]\nzone=\"z%d\"\nmodel=\"drafts\"\naddress=\"10.0.%d.%d:8000\"\nagent=\"10.0.%d.%d:7000\"\n",
			i, i, i%7, i/250, i%250, i/250, i%250)
	}
	return text.String()
}

// BenchmarkMerge parses, merges, validates and indexes a whole configuration.
func BenchmarkMerge(b *testing.B) {
	for _, accounts := range []int{340, 3_400, 34_000} {
		files := largeSet(accounts, 600)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := folder.Merge(1, files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkChange merges a set to which a file that withdraws one key was added: part merges incrementally with a
// Merger, whole merges all files.
func BenchmarkChange(b *testing.B) {
	files := largeSet(34_000, 600)
	withEdit := func(name string) []folder.File {
		edit := fmt.Sprintf("[keys.%s]\nwithdrawn = true\n", name)
		return append(append([]folder.File(nil), files...), folder.NewFile("90-edit.toml", []byte(edit)))
	}
	b.Run("part", func(b *testing.B) {
		b.ReportAllocs()
		merger := folder.NewMerger()
		if _, err := merger.Merge(1, files); err != nil {
			b.Fatal(err)
		}
		for i := 0; b.Loop(); i++ {
			if _, err := merger.Merge(2, withEdit(fmt.Sprintf("k%05d", i%34_000))); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := folder.Merge(2, withEdit("k00001")); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory reports the heap that one configuration takes, in MiB in total and in bytes per client account. Each
// account has one key.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{3_400, 34_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var held *lovageshift.Config
			before := heapBytes()
			for b.Loop() {
				merged, err := folder.Merge(1, largeSet(accounts, 600))
				if err != nil {
					b.Fatal(err)
				}
				held = merged.Config
			}
			grown := float64(heapBytes() - before)
			b.ReportMetric(grown/(1<<20), "MB")
			b.ReportMetric(grown/float64(accounts), "B/account")
			runtime.KeepAlive(held)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
