/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.JsonNode;

/** Reads and validates settings files; an error message is one line that names the key. */
public final class SettingsReader
{
    private SettingsReader()
    {
    }

    /**
     * Reads and validates a file.
     *
     * @param <T> type of the settings
     * @param file settings file
     * @param type record class of the settings
     * @return the settings
     * @throws GaugehollowException with a code in the 1000s and a message of one line that names the
     *             key
     */
    public static <T> T read(Path file, Class<T> type)
    {
        byte[] bytes;
        try
        {
            bytes = Files.readAllBytes(file);
        }
        catch (IOException e)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_UNREADABLE, "cannot read " + file + ": " + e,
                    e);
        }
        return parse(bytes, type);
    }

    /**
     * Parses and validates settings.
     *
     * @param <T> type of the settings
     * @param bytes UTF-8 JSON
     * @param type record class of the settings
     * @return the settings
     * @throws GaugehollowException with a code in the 1000s and a message of one line that names the
     *             key
     */
    public static <T> T parse(byte[] bytes, Class<T> type)
    {
        try
        {
            checkKeys(Json.read(bytes, JsonNode.class, ResultCode.SETTINGS_UNREADABLE), type, "");
            return Json.read(bytes, type, ResultCode.SETTINGS_UNREADABLE);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(codeOf(e), e.getMessage(), e);
        }
    }

    /**
     * Rejects unknown keys. Runs before parsing, so that a misspelt key isn't reported as a missing
     * one.
     */
    private static void checkKeys(JsonNode node, Class<?> type, String path)
    {
        Map<String, Class<?>> known = new TreeMap<>();
        for (RecordComponent component : type.getRecordComponents())
        {
            known.put(component.getName(), component.getType());
        }
        for (Map.Entry<String, JsonNode> field : node.properties())
        {
            Class<?> fieldType = known.get(field.getKey());
            if (fieldType == null)
            {
                throw new GaugehollowException(ResultCode.SETTINGS_UNKNOWN_KEY, path + field.getKey()
                        + ": unknown key; expected one of: " + String.join(", ", known.keySet()));
            }
            if (fieldType.isRecord() && field.getValue().isObject())
            {
                checkKeys(field.getValue(), fieldType, path + field.getKey() + '.');
            }
        }
    }

    private static ResultCode codeOf(GaugehollowException e)
    {
        if (e.code() == ResultCode.SETTINGS_UNKNOWN_KEY)
        {
            return e.code();
        }
        if (e.getCause() instanceof GaugehollowException check)
        {
            return codeOfCheck(check);
        }
        return e.getCause() instanceof MismatchedInputException
                ? ResultCode.SETTINGS_WRONG_TYPE
                : ResultCode.SETTINGS_UNREADABLE;
    }

    private static ResultCode codeOfCheck(GaugehollowException check)
    {
        if (check.code() != ResultCode.RESOURCE_INVALID)
        {
            return check.code();
        }
        return check.getMessage().endsWith("is required")
                ? ResultCode.SETTINGS_MISSING
                : ResultCode.SETTINGS_RANGE;
    }
}
