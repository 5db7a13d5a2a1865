package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// trouble is false if the case is to be played without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the scripted cases by name. Each returns whether its rule was broken.
var cases = map[string]func(rec *record) (broken bool, err error){
	"term":     playTerm,
	"upload":   playUpload,
	"waiting":  playWaiting,
	"founder":  playFounder,
	"download": playDownload,
	"repeat":   playRepeat,
	"drain":    playDrain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, start: time.Now()}
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec)
	switch {
	case err != nil:
		rec.say("could not be played: %v", err)
		os.Exit(2)
	case broken:
		rec.say("the rule was broken")
		os.Exit(1)
	}
	rec.say("the rule held")
}
