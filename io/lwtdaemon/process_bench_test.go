package lwtdaemon_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	idleMembers = 4
	idleSettle  = 25 * time.Second
	idleSpan    = 60 * time.Second
	clockTicks  = 100 // per second, fixed on Linux
)

// BenchmarkIdleProcesses measures what a real daemon uses while no caller is
// there, with 4 daemons on loopback. It takes 90 s.
func BenchmarkIdleProcesses(b *testing.B) {
	for b.Loop() {
		processes := startProcesses(b, idleMembers, newBackend(b).platform, "")
		time.Sleep(idleSettle)
		cpu, sent, messages := total(b, processes)
		began := time.Now()
		time.Sleep(idleSpan)
		cpuAfter, sentAfter, messagesAfter := total(b, processes)
		span := time.Since(began).Seconds() * idleMembers
		b.ReportMetric((cpuAfter-cpu).Seconds()/span*100, "core-%/daemon")
		b.ReportMetric((sentAfter-sent)/span, "peer-B/s/daemon")
		b.ReportMetric((messagesAfter-messages)/span, "peer-msg/s/daemon")
		b.ReportMetric(memory(b, processes)/idleMembers, "resident-MB/daemon")
	}
	b.ReportMetric(0, "ns/op")
}

func total(b *testing.B, processes []*process) (cpu time.Duration, sent, messages float64) {
	b.Helper()
	for _, process := range processes {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
		for _, field := range fields[11:13] {
			ticks, err := strconv.Atoi(field)
			if err != nil {
				b.Fatal(err)
			}
			cpu += time.Duration(ticks) * time.Second / clockTicks
		}
		process.mutex.Lock()
		sent += logged(b, process.traffic, "bytes-sent")
		messages += logged(b, process.traffic, "messages-sent")
		process.mutex.Unlock()
	}
	return cpu, sent, messages
}

func logged(b *testing.B, line, key string) float64 {
	b.Helper()
	match := regexp.MustCompile(key + `=(\d+)`).FindStringSubmatch(line)
	if match == nil {
		b.Fatalf("no %s in %q", key, line)
	}
	value, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

func memory(b *testing.B, processes []*process) float64 {
	b.Helper()
	sum := 0.0
	for _, process := range processes {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		match := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(status)
		if match == nil {
			b.Fatal("no VmRSS")
		}
		kilobytes, err := strconv.ParseFloat(string(match[1]), 64)
		if err != nil {
			b.Fatal(err)
		}
		sum += kilobytes / 1024
	}
	return sum
}
