/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP request, received or to be sent.
 *
 * @param method the method
 * @param path the path without its query
 * @param query the raw query, empty if there is none
 * @param headers the headers
 * @param body the complete body
 */
public record HttpMessage(String method, String path, String query, HttpHeaders headers, byte[] body)
{
    /**
     * @param name the name of a query parameter
     * @return the decoded value, if present
     */
    public Optional<String> parameter(String name)
    {
        for (String pair : query.split("&"))
        {
            int equals = pair.indexOf('=');
            String key = equals < 0 ? pair : pair.substring(0, equals);
            if (key.equals(name))
            {
                return Optional.of(equals < 0 ? "" : decode(pair.substring(equals + 1)));
            }
        }
        return Optional.empty();
    }

    /**
     * @param name the name of a header
     * @return the value, if present
     */
    public Optional<String> header(String name)
    {
        return Optional.ofNullable(headers.get(name));
    }

    private static String decode(String text)
    {
        try
        {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        }
        catch (IllegalArgumentException e)
        {
            return text;
        }
    }
}
