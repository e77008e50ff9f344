/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.net;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP response, received or to be sent.
 *
 * @param status the status
 * @param headers the headers
 * @param body the complete body
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body)
{
    /** The media type of JSON bodies. */
    public static final String JSON_TYPE = "application/json";
    private static final int MILLIS_PER_SECOND = 1000;

    /**
     * The body of an error response.
     *
     * @param code the number of the result code
     * @param name the name of the result code
     * @param outcome the known outcome of the request
     * @param message the error message
     * @param retryAfterMillis delay before a retry in milliseconds, null if a retry does not help
     */
    public record ErrorBody(int code, String name, String outcome, String message, Integer retryAfterMillis)
    {
    }

    /**
     * @param status the status
     * @param contentType the media type
     * @param body the body
     * @return the reply
     */
    public static HttpReply of(int status, String contentType, byte[] body)
    {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        return new HttpReply(status, headers, body);
    }

    /**
     * @param status the status
     * @param value the value to serialise as JSON
     * @return the reply
     */
    public static HttpReply json(int status, Object value)
    {
        return of(status, JSON_TYPE, Json.write(value));
    }

    /**
     * @param code a result code other than OK
     * @param message the error message
     * @return the error response, with a Retry-After header if a retry can help
     */
    public static HttpReply error(ResultCode code, String message)
    {
        return error(code, message, code.retryAfterMillis());
    }

    /**
     * @param code a result code other than OK
     * @param message the error message
     * @param retryAfterMillis delay before a retry in milliseconds, 0 if a retry does not help
     * @return the error response
     */
    public static HttpReply error(ResultCode code, String message, int retryAfterMillis)
    {
        Integer retry = retryAfterMillis > 0 ? retryAfterMillis : null;
        ErrorBody body = new ErrorBody(code.number(), code.name(), code.outcome().label(), message, retry);
        HttpReply reply = json(code.httpStatus(), body);
        if (retry != null)
        {
            int seconds = (retry + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            reply.headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return reply;
    }

    /**
     * @param e an exception with a result code
     * @return the error response
     */
    public static HttpReply error(GaugehollowException e)
    {
        return error(e.code(), e.getMessage(), e.retryAfterMillis());
    }
}
