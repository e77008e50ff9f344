/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.gaugehollow.event.EventType;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.schedule.WaitReason;
import org.junit.jupiter.api.Test;

/** Checks that the tables in the docs match the code. */
class CatalogueTest
{
    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void errorsPageMatchesResultCodes() throws IOException
    {
        List<String> expected = Arrays.stream(ResultCode.values())
                .map(c -> "| " + c.number() + " | " + c.name() + " | "
                        + (c.httpStatus() == 0 ? "-" : c.httpStatus()) + " | " + c.outcome().label() + " | "
                        + (c.retryAfterMillis() == 0 ? "-" : c.retryAfterMillis() + " ms") + " | "
                        + c.meaning() + " |")
                .toList();
        assertThat(rows("ERRORS.md")).containsExactlyElementsIn(expected).inOrder();
    }

    @Test
    void eventsPageMatchesEventTypes() throws IOException
    {
        List<String> expected = Arrays.stream(EventType.values()).map(
                e -> "| " + e.number() + " | " + e.name() + " | " + e.level() + " | " + e.meaning() + " |")
                .toList();
        assertThat(rows("EVENTS.md")).containsExactlyElementsIn(expected).inOrder();
    }

    @Test
    void operationsPageListsAllWaitReasons() throws IOException
    {
        List<String> expected = Arrays.stream(WaitReason.values()).map(WaitReason::label).toList();
        List<String> listed = Files.readAllLines(DOCS.resolve("OPERATIONS.md")).stream()
                .filter(line -> line.matches("\\| `[a-z_]+` \\| .*")).map(line -> line.split("`")[1])
                .filter(name -> !name.startsWith("gaugehollow_")).toList();
        assertThat(listed).containsExactlyElementsIn(expected);
    }

    /** Returns the table rows that begin with a number. */
    private static List<String> rows(String page) throws IOException
    {
        return Files.readAllLines(DOCS.resolve(page)).stream()
                .filter(line -> line.matches("\\| \\d+ \\| [A-Z_]+ \\|.*")).toList();
    }
}
