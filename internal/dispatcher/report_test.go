package dispatcher

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReportedPositionsCountFromTheEpoch(t *testing.T) {
	d, _ := newTestDispatcher(t)
	unixSeconds := float64(d.loop.StartedAt().UnixMilli()) / 1000
	report := d.readReport(fmt.Sprintf("x1=1, x0=%.3f", unixSeconds))
	assert.InDelta(t, 3600, report.position, 0.01)
	assert.True(t, report.primary)
	assert.InDelta(t, 0, d.clock.positionEpoch+report.position, 0.01, "the position stands for loop time 0")
	for _, invalid := range []string{
		"", "x0", "x0=soon", "x0=NaN", "x0=-Inf", "util=0.5", "x0=-5", "x0=1e18",
		fmt.Sprintf("x0=%.3f", unixSeconds+60),
		fmt.Sprintf("x0=%.3f,x1=perhaps", unixSeconds),
		fmt.Sprintf("x0=%.3f,x1=7", unixSeconds),
	} {
		assert.Negative(t, d.readReport(invalid).position, invalid)
	}
}

func TestInvalidReportFieldsReturnTypedErrors(t *testing.T) {
	field, err := parseReportField(" x0=1.5")
	require.NoError(t, err)
	assert.Equal(t, reportField{name: positionField, value: 1.5}, field)
	for text, cause := range map[string]error{
		"x0": strconv.ErrSyntax, "x0=soon": strconv.ErrSyntax, "x0=1e999": strconv.ErrRange, "x0=NaN": errNotFinite,
		"x1=2": errNotAFlag,
	} {
		_, err := parseReportField(text)
		var fieldErr *fieldError
		require.ErrorAs(t, err, &fieldErr, text)
		assert.Equal(t, text, fieldErr.field)
		require.ErrorIs(t, err, cause, text)
	}
}
