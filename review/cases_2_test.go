package review

import "testing"

// The cases of the second review. review/build-2.sh comes first.

func BenchmarkReviewCase6(b *testing.B) { runScript(b, "6/run.sh") }

func BenchmarkReviewCase7(b *testing.B) { runScript(b, "7/run.sh") }

func BenchmarkReviewCase8(b *testing.B) { runScript(b, "8/run.sh") }

func BenchmarkReviewCase9(b *testing.B) { runScript(b, "9/run.sh") }

func BenchmarkReviewCase10(b *testing.B) { runScript(b, "10/run.sh") }

// BenchmarkReviewStallShutdown is a play of part one that is no case any more.
func BenchmarkReviewStallShutdown(b *testing.B) { runScript(b, "stall/shutdown.sh") }

// BenchmarkReviewStallGone is a play of part one that is no case any more.
func BenchmarkReviewStallGone(b *testing.B) { runScript(b, "stall/gone.sh") }
