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

/** Reads settings files and says in one line what is wrong with one. */
public final class SettingsReader
{
    private SettingsReader()
    {
    }

    /**
     * Reads and checks a file.
     *
     * @param <T> the record
     * @param file the file
     * @param type the record that describes it
     * @return the checked settings
     * @throws GaugehollowException with a code of the 1000s and one line that names the key
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
     * Checks settings that were read already.
     *
     * @param <T> the record
     * @param bytes UTF-8 JSON
     * @param type the record that describes it
     * @return the checked settings
     * @throws GaugehollowException with a code of the 1000s and one line that names the key
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

    /** A misspelt key is named before a missing one is, since it is the likelier fault. */
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
