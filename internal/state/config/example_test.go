package config_test

import (
	"fmt"

	"fulmarwick/internal/state/config"
)

func ExampleCheckOffline() {
	err := config.CheckOffline([]config.Document{{File: "classes.ini", Data: []byte(`
[class answer]
kind = model
model = levy-13b
gap = 40s
whole = 30s
percent = 120
`)}})
	fmt.Println(err)
	// Output:
	// config: documents refused
	//   classes.ini: [class answer]: impossible target: gap 40s is longer than whole 30s
	//   classes.ini: [class answer]: impossible target: percent is 120, want above 0 and at most 100
}
