/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import com.google.common.collect.Range;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests that invalid settings are rejected with one line that names the key. */
class SettingsReaderTest
{
    private static final String VALID_SETTINGS = "{\"box\":\"bole-1\",\"hall\":\"bole\",\"callerAddress\":\"127.0.0.1:1\","
            + "\"operatorAddress\":\"127.0.0.1:2\",\"peerAddress\":\"127.0.0.1:3\",\"platform\":"
            + "{\"storeAddress\":\"127.0.0.1:4\",\"rosterAddress\":\"127.0.0.1:4\"}}";

    private static EntrySettings parse(String json)
    {
        return SettingsReader.parse(json.getBytes(StandardCharsets.UTF_8), EntrySettings.class);
    }

    @Test
    void validSettingsAreCompletedWithDefaults()
    {
        EntrySettings settings = parse(VALID_SETTINGS);
        assertThat(settings.timing().leaseSeconds()).isEqualTo(5);
        assertThat(settings.reachablePeerAddress()).isEqualTo("127.0.0.1:3");
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"\"box\";\"boxx\";SETTINGS_UNKNOWN_KEY;boxx",
            "\"bole-1\";17;SETTINGS_WRONG_TYPE;box",
            "\"127.0.0.1:1\";\"localhost:1\";SETTINGS_RANGE;callerAddress",
            "\"127.0.0.1:2\";\"127.0.0.1:99999\";SETTINGS_RANGE;operatorAddress",
            "\"hall\":\"bole\",;'';SETTINGS_MISSING;hall", "\"Bole\";\"Bole\";OK;''",
            ",\"peerAddress\":\"127.0.0.1:3\";'';SETTINGS_MISSING;peerAddress",
            "\"hall\":;\"timing\":{\"leaseSeconds\":0.5},\"hall\":;SETTINGS_WRONG_TYPE;timing.leaseSeconds",
            "\"hall\":;\"timing\":{\"leaseSeconds\":900},\"hall\":;SETTINGS_RANGE;timing.leaseSeconds",
            "\"hall\":;\"timing\":{\"pingMillis\":900,\"witnessMillis\":1000},\"hall\":;SETTINGS_RANGE;timing.witnessMillis",
            "\"hall\":;\"limits\":{\"retryPercent\":-1},\"hall\":;SETTINGS_RANGE;limits.retryPercent",
            "}};};SETTINGS_UNREADABLE;''"})
    void errorNamesInvalidKey(String target, String replacement, String code, String expectedKey)
    {
        String json = VALID_SETTINGS.replace(target, replacement == null ? "" : replacement);
        if ("OK".equals(code))
        {
            assertThat(parse(json).box()).isEqualTo("bole-1");
            return;
        }
        GaugehollowException e = assertThrows(GaugehollowException.class, () -> parse(json));
        assertThat(e.code()).isEqualTo(ResultCode.valueOf(code));
        assertThat(e.getMessage()).contains(expectedKey == null ? "" : expectedKey);
        assertThat(e.getMessage().lines().count()).isEqualTo(1);
    }

    @Property(tries = 500, seed = "5")
    void anyTextIsParsedOrRejectedWithSettingsCode(@ForAll String text)
    {
        try
        {
            assertThat(parse(text)).isNotNull();
        }
        catch (GaugehollowException e)
        {
            assertThat(e.code().number()).isIn(Range.closed(1001, 1005));
        }
    }
}
