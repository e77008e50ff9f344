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
 * A whole HTTP response, to be sent or received.
 *
 * @param status the status
 * @param headers the headers
 * @param body the whole body
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body)
{
    /** The media type of JSON bodies. */
    public static final String JSON_TYPE = "application/json";
    private static final int MILLIS_PER_SECOND = 1000;

    /**
     * The body of every coded refusal.
     *
     * @param code the number
     * @param name its name
     * @param outcome what is known of the request
     * @param message what happened
     * @param retryAfterMillis when to come back; absent where that does not help
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
     * @param value what is written as JSON
     * @return the reply
     */
    public static HttpReply json(int status, Object value)
    {
        return of(status, JSON_TYPE, Json.write(value));
    }

    /**
     * @param code a code that is not OK
     * @param message what happened
     * @return the coded refusal, with Retry-After where asking again helps
     */
    public static HttpReply error(ResultCode code, String message)
    {
        return error(code, message, code.retryAfterMillis());
    }

    /**
     * @param code a code that is not OK
     * @param message what happened
     * @param retryAfterMillis when to come back, 0 where that does not help
     * @return the coded refusal
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
     * @param e a coded failure
     * @return the coded refusal
     */
    public static HttpReply error(GaugehollowException e)
    {
        return error(e.code(), e.getMessage());
    }
}
