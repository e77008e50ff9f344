/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.model;

import com.fasterxml.jackson.databind.type.LogicalType;

import com.fasterxml.jackson.databind.cfg.CoercionInputShape;

import com.fasterxml.jackson.databind.cfg.CoercionAction;

import java.io.IOException;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Strict JSON reading and writing: unknown keys, wrong types and trailing text are rejected. */
public final class Json
{
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .withCoercionConfig(LogicalType.Textual,
                    config -> config.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
                            .setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
                            .setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail))
            .serializationInclusion(JsonInclude.Include.NON_NULL).build();

    private Json()
    {
    }

    /** @return the shared mapper, for working with JSON trees */
    public static ObjectMapper mapper()
    {
        return MAPPER;
    }

    /**
     * Parses a value strictly.
     *
     * @param <T> type of the value
     * @param bytes UTF-8 JSON
     * @param type class of the value
     * @param code result code of the exception on failure
     * @return the value, never null
     * @throws GaugehollowException if the bytes are not a valid value of the type
     */
    public static <T> T read(byte[] bytes, Class<T> type, ResultCode code)
    {
        try
        {
            T value = MAPPER.readValue(bytes, type);
            if (value == null)
            {
                throw new GaugehollowException(code, "expected an object, found null");
            }
            return value;
        }
        catch (JsonProcessingException e)
        {
            GaugehollowException projectException = findProjectException(e);
            if (projectException != null)
            {
                throw new GaugehollowException(code, projectException.getMessage(), projectException);
            }
            throw new GaugehollowException(code, describe(e), e);
        }
        catch (IOException e)
        {
            throw new GaugehollowException(code, "cannot read JSON: " + e.getMessage(), e);
        }
    }

    /**
     * Serializes a value.
     *
     * @param value value to serialize
     * @return UTF-8 JSON
     */
    public static byte[] write(Object value)
    {
        try
        {
            return MAPPER.writeValueAsBytes(value);
        }
        catch (JsonProcessingException e)
        {
            throw new GaugehollowException(ResultCode.INTERNAL, "cannot serialize value as JSON", e);
        }
    }

    /**
     * Describes a parse error in one line: the path of the invalid key and what was expected.
     *
     * @param e parse error
     * @return description in one line
     */
    public static String describe(JsonProcessingException e)
    {
        if (e instanceof UnrecognizedPropertyException unknown)
        {
            String known = unknown.getKnownPropertyIds().stream().map(String::valueOf).sorted()
                    .collect(Collectors.joining(", "));
            return path(e) + "unknown key; expected one of: " + known;
        }
        String first = e.getOriginalMessage().lines().findFirst().orElse("not valid JSON");
        return path(e) + first;
    }

    private static String path(JsonProcessingException e)
    {
        if (e instanceof JsonMappingException mapping && !mapping.getPath().isEmpty())
        {
            return mapping.getPath().stream()
                    .map(reference -> reference.getFieldName() != null
                            ? reference.getFieldName()
                            : "[" + reference.getIndex() + "]")
                    .collect(Collectors.joining(".")) + ": ";
        }
        return "";
    }

    private static GaugehollowException findProjectException(Throwable e)
    {
        for (Throwable cause = e.getCause(); cause != null; cause = cause.getCause())
        {
            if (cause instanceof GaugehollowException projectException)
            {
                return projectException;
            }
        }
        return null;
    }
}
