package picker

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a cause that operators are not shown.
func TestTermsAddUpToTheTotal(t *testing.T) {
	var cst Cost
	val := reflect.ValueOf(&cst).Elem()
	for i := range val.NumField() {
		val.Field(i).SetFloat(float64(int(1) << i))
	}
	sum := 0.0
	for _, trm := range cst.Terms() {
		sum += trm.Value()
	}
	assert.Equal(t, sum, float64(int(1)<<val.NumField()-1))
	assert.Equal(t, cst.Total(), sum)
}
