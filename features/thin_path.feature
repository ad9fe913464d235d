Feature: End-to-end requests from a caller through the router to an engine
  Runs real processes and HTTP on loopback. Faults injected: engine restart with an
  empty cache, engine freeze, router restart, new weights, an unknown API key,
  invalid settings.

  Scenario: A streamed response arrives complete and in order
    Given a router in front of 1 stand-in engine
    When team "alpha" streams a 64-token prompt asking for 12 tokens
    Then the stream carries 12 tokens and ends with [DONE]
    And the streamed text equals the whole answer to the same prompt
    And the router logged a route line for every request

  Scenario: Two teams with the same prompt never share cached blocks
    Given a router in front of 1 stand-in engine
    When team "alpha" sends a 64-token prompt
    And team "beta" sends the same prompt
    And team "alpha" sends the same prompt
    Then the engine reports that request 2 used 0 cached tokens
    And the engine reports that request 3 used 64 cached tokens

  Scenario: The index of an engine is cleared when the engine restarts
    Given a router in front of 1 stand-in engine
    When team "alpha" sends a 64-token prompt
    Then the router soon indexes 4 blocks of the engine
    When the engine crashes and comes back empty
    Then the router soon sees the engine's new epoch and indexes 0 blocks of it
    When team "alpha" sends the same prompt
    Then the router logged matched_blocks=0/4 for the last request
    And the engine reports that request 1 used 0 cached tokens

  Scenario: A restarted router serves requests at once
    Given a router in front of 1 stand-in engine
    When team "alpha" sends a 64-token prompt
    And the router is killed and started again
    And team "alpha" sends the same prompt
    Then the caller got status 200

  Scenario: A request with an unknown key gets 401 and is not sent to the engine
    Given a router in front of 1 stand-in engine
    When a caller with the key "no-such-key" sends a 64-token prompt
    Then the caller got status 401
    And the engine has seen 0 requests

  Scenario Outline: On an invalid setting the daemon exits with a typed error
    Given a settings file whose [<section>] <key> is "<value>"
    When the daemon starts with that file
    Then it exits with code 2 naming the file, [<section>] and <key>

    Examples:
      | section     | key               | value       |
      | daemon      | block_size_tokens | sixteen     |
      | daemon      | policy            | random      |
      | team:alpha  | upstreams         | nowhere-0   |
      | team:beta   | api_keys          | key-alpha   |
      | daemon      | listen            | 127.0.0.1   |

  Scenario: New weights never reuse blocks cached under the old ones
    Given a router in front of 1 stand-in engine
    When team "alpha" sends a 64-token prompt
    And the router restarts with model version "v2"
    And team "alpha" sends the same prompt
    Then the engine reports that request 2 used 0 cached tokens

  Scenario: A frozen engine gets no new requests after its reports stop
    Given a router in front of 2 stand-in engines
    When engine 1 freezes
    And the router has received nothing from engine 1 for 3.5 seconds
    And team "alpha" sends 4 different prompts
    Then the router routed every request to engine-0
