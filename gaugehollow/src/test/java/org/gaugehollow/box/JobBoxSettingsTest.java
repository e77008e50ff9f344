/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.settings.SettingsReader;
import org.gaugehollow.urgency.StopCosts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a box that starts with costs of a stop that it doesn't understand. */
class JobBoxSettingsTest
{
    private static JobBoxSettings parse(String more)
    {
        String json = "{\"box\":\"bole-1\",\"hall\":\"bole\",\"callerAddress\":\"127.0.0.1:1\","
                + "\"readinessAddress\":\"127.0.0.1:2\",\"peerAddress\":\"127.0.0.1:3\","
                + "\"metricsAddress\":\"127.0.0.1:4\",\"storeAddress\":\"127.0.0.1:5\","
                + "\"statusSeconds\":120,\"drainSeconds\":6" + more + '}';
        return SettingsReader.parse(json.getBytes(StandardCharsets.UTF_8), JobBoxSettings.class);
    }

    @Test
    void absentCostsAreTheDefaults()
    {
        assertThat(parse("").stopCosts()).isEqualTo(StopCosts.DEFAULT);
    }

    @Test
    void statedCostsAreUsed()
    {
        assertThat(parse(",\"stopMillis\":300,\"restoreMillis\":0,\"checkpointSeconds\":0.5").stopCosts())
                .isEqualTo(new StopCosts(300, 0, 500));
    }

    @ParameterizedTest
    @CsvSource({"stopMillis,0,SETTINGS_RANGE", "stopMillis,0.5,SETTINGS_WRONG_TYPE",
            "stopMillis,60001,SETTINGS_RANGE", "restoreMillis,-1,SETTINGS_RANGE",
            "restoreMillis,true,SETTINGS_WRONG_TYPE", "checkpointSeconds,0,SETTINGS_RANGE",
            "checkpointSeconds,3601,SETTINGS_RANGE"})
    void malformedCostIsRefusedWithItsKey(String key, String value, String code)
    {
        GaugehollowException e = assertThrows(GaugehollowException.class,
                () -> parse(",\"" + key + "\":" + value));
        assertThat(e.code()).isEqualTo(ResultCode.valueOf(code));
        assertThat(e.getMessage()).contains(key);
    }
}
