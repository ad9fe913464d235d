Feature: Rules of the control path that need no processes
  The daemon's own classes, called directly.

  Scenario: An older configuration never replaces a newer one
    Given a live configuration with 9 records in force
    When a configuration with 8 records arrives late
    Then 9 records stay in force

  Scenario: A retry budget bounds a herd
    Given a retry budget of 0.2 with a slack of 4 shared by 2 routers
    When 20 requests arrive and each asks for a retry
    Then 6 retries are allowed

  Scenario: A peer that falls silent no longer counts
    Given a router that heard a peer speak of 5 requests and an opening on "e0"
    When the peer is suspected
    Then the router counts 0 requests and no opening there

  Scenario: A step that fails does not end its loop
    Given a loop whose step fails the first 2 times
    Then the step soon ran 5 times

  Scenario: A large configuration is read whole from the log's pages
    Given a log service holding 1200 teams
    When a team changes while the pages are read
    Then all 1200 teams are read, the changed one as changed

  Scenario Outline: A fault in the language is pointed at: <text>
    Then "<text>" is refused at column <column>

    Examples:
      | text                                  | column |
      | show runing                           | 6      |
      | show running where tem = x            | 20     |
      | create team                           | 12     |
      | alter upstream x set slot = 4         | 22     |
      | show refused since 5                  | 20     |
      | load model m on upstream a            | 14     |
