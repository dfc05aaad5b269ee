Feature: HTTP exchanges under concurrency and with malformed input

  Scenario: no caller gets another caller's response
    Many callers share the client's connections. Some read their response
    late, some read half of it, and some cancel the request while the upstream
    works on it. In any order of these events, a caller that reads to the end
    gets its own complete response. No task keeps running and no connection
    stays open for the callers that stopped early.

    Then each HTTP caller that reads to the end gets its own answer

  Scenario: random bytes neither block the server nor affect other callers
    A faulty caller sends random bytes and pieces of requests, with pauses.
    It receives only well-formed responses, and its connection is closed
    within the timeouts. Throughout, each request of another caller is
    answered at once.

    Then random bytes close their own HTTP connection and affect no other caller
